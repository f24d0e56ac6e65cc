#include "papayabend/dispatch/UpstreamGate.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // A draining upstream still serves for a while; it is used for this long if the service has no other.
    constexpr base::Duration drainingUseTime { std::chrono::milliseconds(1000) };

    // Time in which a process that was paused reads what has changed meanwhile.
    constexpr base::Duration refreshTime { std::chrono::milliseconds(1000) };

    /** Returns whether the entry was read just after a pause, so that it may have changed long before. */
    bool mayBeOld(const discovery::UpstreamEntry& entry, base::TimePoint resumedAt)
    {
        return resumedAt != base::TimePoint {} && entry.changedAt >= resumedAt
            && entry.changedAt - resumedAt < refreshTime;
    }

    GateReason reasonByStatements(
        const UpstreamGate& gate, uint64_t key, bool isHedge, base::TimePoint now, uint32_t waiting)
    {
        if (gate.holds.isLeaving(key))
            return GateReason::Leaving;
        if (gate.holds.pauseLeft(key, now).count() > 0)
            return GateReason::Paused;
        if (isHedge && gate.limits.limitOf(key, now))
            return GateReason::Limited;
        auto wait = gate.limits.waitFor(key, gate.limitShare, now, waiting);
        return wait.count() > 0 ? GateReason::Limited : GateReason::None;
    }

    GateReason reasonByWarmUp(const UpstreamGate& gate, const GateSubject& subject, const GateQuery& query)
    {
        if (!isColdAndBounded(gate, subject.entry, query))
            return GateReason::None;
        return query.isHedge || coldWaitFor(gate, subject, query).count() > 0 ? GateReason::Cold : GateReason::None;
    }

    GateReason reasonByEvacuation(const GateSubject& subject, const GateQuery& query)
    {
        if (!query.evacuations || query.evacuations->isEmpty())
            return GateReason::None;
        const auto& domain = subject.entry.record.failureDomain;
        if (query.evacuations->isEvacuated(domain))
            return GateReason::Evacuated;
        auto hasReturned = query.returnDraw < query.evacuations->returnedShare(domain, query.now);
        return hasReturned ? GateReason::None : GateReason::Returning;
    }

}

uint64_t keyOf(const discovery::UpstreamRecord& record) { return UpstreamLimits::keyOf(record.id, record.startedAt); }

GateReason reasonByListing(const GateSubject& subject, bool hasListed, base::TimePoint now)
{
    const auto& entry = subject.entry;
    if (entry.presence == discovery::Presence::Gone)
        return GateReason::Gone;
    if (entry.presence == discovery::Presence::Missing && (hasListed || entry.record.isDraining))
        return GateReason::Missing;
    if (entry.record.isDraining && (hasListed || now - entry.changedAt >= drainingUseTime))
        return GateReason::Draining;
    return subject.misdirectedUntil > now ? GateReason::Misdirected : GateReason::None;
}

GateReason reasonAgainst(const UpstreamGate& gate, const GateSubject& subject, const GateQuery& query)
{
    // Lasting reasons come first, since they end the wait of an attempt.
    auto byListing = reasonByListing(subject, query.hasListed, query.now);
    if (subject.entry.record.isDraining && mayBeOld(subject.entry, query.resumedAt))
        byListing = GateReason::Draining;
    if (isLasting(byListing))
        return byListing;
    auto byEvacuation = reasonByEvacuation(subject, query);
    if (byEvacuation == GateReason::Evacuated)
        return byEvacuation;
    auto byStatements = gate.isEmpty()
        ? GateReason::None
        : reasonByStatements(gate, keyOf(subject.entry.record), query.isHedge, query.now, subject.waiting);
    if (isLasting(byStatements))
        return byStatements;
    for (auto reason : { byListing, byStatements, reasonByWarmUp(gate, subject, query) }) {
        if (reason != GateReason::None)
            return reason;
    }
    return byEvacuation;
}

bool isColdAndBounded(const UpstreamGate& gate, const discovery::UpstreamEntry& entry, const GateQuery& query)
{
    if (query.coldBound.perSecond <= 0 || (entry.record.warmUpLeft.count() == 0 && gate.cold.isEmpty()))
        return false;
    return gate.cold.coldUntil(entry, keyOf(entry.record)) > query.now;
}

base::Duration coldWaitFor(const UpstreamGate& gate, const GateSubject& subject, const GateQuery& query)
{
    if (!isColdAndBounded(gate, subject.entry, query))
        return base::Duration(0);
    auto key = keyOf(subject.entry.record);
    auto allotment = coldAllotmentOf(coldAllotment(query.coldBound, gate.coldPart, key, gate.hostName), query.rank);
    // Attempts that wait for a connection will be sent before this one.
    return gate.cold.waitFor(key, allotment > subject.waiting ? allotment - subject.waiting : 0, query.now);
}

bool isLasting(GateReason reason)
{
    switch (reason) {
    case GateReason::Gone:
    case GateReason::Missing:
    case GateReason::Draining:
    case GateReason::Evacuated:
    case GateReason::Leaving:
        return true;
    case GateReason::None:
    case GateReason::Misdirected:
    case GateReason::Paused:
    case GateReason::Limited:
    case GateReason::Cold:
    case GateReason::Returning:
        break;
    }
    return false;
}

const char* toString(GateReason reason)
{
    switch (reason) {
    case GateReason::None:
        break;
    case GateReason::Gone:
        return "gone";
    case GateReason::Missing:
        return "missing";
    case GateReason::Draining:
        return "draining";
    case GateReason::Evacuated:
        return "evacuated";
    case GateReason::Leaving:
        return "leaving";
    case GateReason::Misdirected:
        return "misdirected";
    case GateReason::Paused:
        return "paused";
    case GateReason::Limited:
        return "limited";
    case GateReason::Cold:
        return "cold";
    case GateReason::Returning:
        return "returning";
    }
    return "none";
}

bool isListed(const discovery::UpstreamEntry& entry)
{
    return entry.presence == discovery::Presence::Listed && !entry.record.isDraining;
}

bool hasListed(std::span<const discovery::UpstreamEntry* const> entries)
{
    return std::ranges::any_of(entries, [](const auto* it) { return isListed(*it); });
}

size_t countUsable(std::span<const discovery::UpstreamEntry* const> entries, const discovery::Evacuations* evacuations)
{
    auto hasOthers = hasListed(entries);
    return static_cast<size_t>(std::ranges::count_if(entries, [=](const auto* it) {
        if (evacuations && evacuations->isEvacuated(it->record.failureDomain))
            return false;
        return it->presence == discovery::Presence::Listed
            || (it->presence == discovery::Presence::Missing && !hasOthers);
    }));
}

std::optional<base::Duration> waitFor(const UpstreamGate& gate, uint64_t key, base::TimePoint now, uint32_t waiting)
{
    if (gate.holds.isLeaving(key))
        return std::nullopt;
    return std::max(gate.holds.pauseLeft(key, now), gate.limits.waitFor(key, gate.limitShare, now, waiting));
}

bool isOpen(const UpstreamGate& gate, uint64_t key, bool isHedge, base::TimePoint now)
{
    return reasonByStatements(gate, key, isHedge, now, 0) == GateReason::None;
}

}
