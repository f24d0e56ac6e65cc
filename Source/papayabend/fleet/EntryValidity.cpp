#include "papayabend/fleet/EntryValidity.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace papayabend::fleet {

namespace {

    // Some callers keep an entry answer for up to three times its time to live.
    constexpr int cacheFactor = 3;
    // End of the grace time that is left for the answers to open requests, and the time in which other hosts learn of
    // the stop if the first message is lost.
    constexpr base::Duration stopMargin { std::chrono::milliseconds(400) };
    constexpr base::Duration announcementTime { FleetView::heartbeatInterval };

    /** Returns the time to live in calm, bounded by the time that a stopping host serves. */
    base::Duration longTimeToLive(const EntryValiditySettings& settings)
    {
        auto longest = settings.grace - stopMargin - announcementTime;
        return std::max(settings.timeToLive, std::min(settings.calmTimeToLive, longest));
    }

    void recordChange(FleetCalm& calm, const std::string& name, const char* kind, base::TimePoint now)
    {
        calm.changedAt = now;
        calm.seenChangeAt = now;
        calm.cause = name + ' ' + kind;
    }

    /** Returns how the state of a host has changed, or nullptr. */
    const char* changeOf(const SeenHost& before, const SeenHost& after)
    {
        if (before.incarnation != after.incarnation)
            return "started";
        if (before.isAlive != after.isAlive)
            return after.isAlive ? "returned" : "lost";
        if (before.stage != after.stage)
            return after.stage == HostStage::Leaving ? "stops" : "is ready";
        return nullptr;
    }

}

void observe(FleetCalm& calm, const FleetView& fleet, base::TimePoint now)
{
    const auto& self = fleet.self();
    auto isSettled = self.stage == HostStage::Ready;
    auto maxSilence = fleet.isSmall() ? suspectTime : largeFleetSuspectTime;
    std::set<std::string> domains { self.failureDomain };
    std::string_view lastDomain = self.failureDomain;
    auto it = calm.hosts.begin();
    auto removeBefore = [&](const std::string* name) {
        while (it != calm.hosts.end() && (!name || it->first < *name)) {
            recordChange(calm, it->first, "removed", now);
            it = calm.hosts.erase(it);
        }
    };
    // Both maps are sorted by name, so one pass compares them.
    for (const auto& [name, member] : fleet.members()) {
        const auto& heartbeat = member.heartbeat;
        auto isAlive = fleet.isAlive(member, now);
        if (isAlive && heartbeat.failureDomain != lastDomain) {
            domains.insert(heartbeat.failureDomain);
            lastDomain = heartbeat.failureDomain;
        }
        auto isDirect = fleet.isSmall() || heartbeat.failureDomain == self.failureDomain;
        if (isDirect) {
            SeenHost seen { heartbeat.incarnation, heartbeat.stage, isAlive };
            removeBefore(&name);
            if (it == calm.hosts.end() || it->first != name) {
                recordChange(calm, name, "appeared", now);
                it = calm.hosts.emplace_hint(it, name, seen);
            } else if (const auto* kind = changeOf(it->second, seen)) {
                recordChange(calm, name, kind, now);
                it->second = seen;
            }
            ++it;
        }
        auto statedAt = member.lastHeardAt - std::chrono::milliseconds(heartbeat.changeAgeMs);
        if (heartbeat.changeAgeMs > 0 && statedAt > calm.changedAt) {
            calm.changedAt = statedAt;
            calm.cause = "stated by " + name;
        }
        auto isSuspect = isDirect && now - member.lastHeardAt > maxSilence;
        if (isAlive && (isSuspect || heartbeat.stage != HostStage::Ready)) {
            isSettled = false;
            calm.cause = name + (isSuspect ? " is suspect" : " is not ready");
        }
    }
    removeBefore(nullptr);
    if (domains != calm.domains) {
        recordChange(calm, "a failure domain", domains.size() < calm.domains.size() ? "lost" : "appeared", now);
        calm.domains = std::move(domains);
    }
    calm.isUnsettled = !isSettled;
    if (isCalm(calm, now))
        calm.lastCalmAt = now;
}

uint32_t changeAgeOf(const FleetCalm& calm, base::TimePoint now)
{
    // 0 stands for no statement.
    auto age = std::max<int64_t>(base::toMilliseconds(now - calm.seenChangeAt), 1);
    return static_cast<uint32_t>(std::min<int64_t>(age, std::numeric_limits<uint32_t>::max()));
}

bool isCalm(const FleetCalm& calm, base::TimePoint now) { return !calm.isUnsettled && now - calm.changedAt > calmTime; }

base::Duration entryTimeToLive(const FleetCalm& calm, const EntryValiditySettings& settings, base::TimePoint now)
{
    return isCalm(calm, now) ? longTimeToLive(settings) : settings.timeToLive;
}

base::TimePoint answersExpireAt(const FleetCalm& calm, const EntryValiditySettings& settings, base::TimePoint stoppedAt)
{
    auto shortEnd = stoppedAt + cacheFactor * settings.timeToLive;
    if (settings.calmTimeToLive <= settings.timeToLive)
        return shortEnd;
    auto calmEnd = std::min(calm.lastCalmAt, stoppedAt) + announcementTime + longTimeToLive(settings);
    return std::max(shortEnd, calmEnd);
}

}
