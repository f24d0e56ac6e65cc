#include "papayabend/dispatch/Gather.h"
#include "papayabend/dispatch/SendDecision.h"
#include "papayabend/dispatch/StopAdmission.h"
#include "papayabend/gateway/Exchange.h"

#include <algorithm>
#include <set>

namespace papayabend::gateway {

dispatch::GateQuery Exchange::gateQuery(const Subrequest& subrequest, bool isHedge, base::TimePoint now)
{
    const auto& evacuations = m_state.content.evacuations();
    if (!evacuations.isEmpty() && !m_returnDraw)
        m_returnDraw = base::uniform(m_state.random);
    dispatch::ColdBound cold;
    auto perSecond = m_configuration->coldRequestsPerSecond.find(subrequest.service);
    if (perSecond != m_configuration->coldRequestsPerSecond.end()) {
        const auto& settings = m_state.settings.coldUpstreams;
        cold = { perSecond->second, settings.overage, settings.slack };
    }
    return { .isHedge = isHedge,
        .returnDraw = m_returnDraw.value_or(0),
        .evacuations = &evacuations,
        .resumedAt = m_state.resumedAt,
        .coldBound = cold,
        .rank = m_trafficClass.priority,
        .now = now };
}

std::vector<dispatch::Candidate> Exchange::candidatesFor(
    const Subrequest& subrequest, bool isHedge, base::TimePoint now)
{
    auto entries = m_state.content.upstreams().of(subrequest.service);
    auto query = gateQuery(subrequest, isHedge, now);
    query.hasListed = dispatch::hasListed(entries);
    std::vector<dispatch::Candidate> candidates;
    std::vector<size_t> returning;
    bool hasOpen = false;
    candidates.reserve(entries.size());
    for (const auto* entry : entries) {
        auto& load = m_state.pool.load(entry->record.id);
        if (m_state.settings.routing.learnsCapacity)
            dispatch::beginProcess(load, entry->record);
        auto reason = dispatch::reasonAgainst(m_state.gate, { *entry, load.misdirectedUntil, load.waiting }, query);
        auto isTried = std::ranges::find(subrequest.tried, entry->record.id) != subrequest.tried.end();
        auto isRemote = entry->record.failureDomain != m_state.settings.host.failureDomain;
        if (reason == dispatch::GateReason::Returning)
            returning.push_back(candidates.size());
        hasOpen = hasOpen || (reason == dispatch::GateReason::None && !isTried);
        candidates.push_back({ entry, &load, isTried, isRemote, reason != dispatch::GateReason::None });
    }
    // Without another upstream the request would be refused.
    if (!hasOpen) {
        for (auto n : returning)
            candidates[n].isHeldBack = false;
    }
    return candidates;
}

void Exchange::countUpstreams(Subrequest& subrequest) const
{
    auto entries = m_state.content.upstreams().of(subrequest.service);
    const auto* evacuations = &m_state.content.evacuations();
    subrequest.usable = dispatch::countUsable(entries, evacuations);
    std::erase_if(entries,
        [&](const auto* it) { return std::ranges::find(subrequest.tried, it->record.id) != subrequest.tried.end(); });
    subrequest.untried = dispatch::countUsable(entries, evacuations);
}

double Exchange::budgetLeft(const Subrequest& subrequest, base::TimePoint now) const
{
    auto budget = budgetOf(m_state.settings.retryBudget);
    return m_state.budget.remaining(subrequest.service, budget, budgetPart(now), now);
}

double Exchange::budgetPart(base::TimePoint now) const
{
    auto window = budgetOf(m_state.settings.retryBudget).window;
    return fleet::partOf(m_state.budgetShare, 1 + m_state.fleet.members().size(), window, now);
}

std::string Exchange::takeSend(Subrequest& subrequest, const std::string& upstream, const char* cause, bool isHedge)
{
    auto now = base::BootClock::now();
    // After a pause, a connection may become free before anything else notices the pause.
    if (m_state.checkPause)
        m_state.checkPause(now);
    const auto* entry = m_state.content.upstreams().find(upstream);
    const auto& history = subrequest.history;
    auto isRunning = history.inFlight > history.waiting;
    dispatch::SendInputs inputs { .gate = dispatch::GateReason::Gone,
        .isAnswered = m_isFinished || subrequest.phase != SubrequestPhase::Open,
        .isStale = m_state.isStale,
        .isSuspect = m_state.suspects.isRefused(m_fingerprint, now)
            || (isHedge && isRunning && m_state.suspects.losses(m_fingerprint, now) > 0),
        .policy = policy(),
        .history = history,
        .deadline = m_deadlineAt,
        .now = now };
    bool isCold = false;
    if (entry) {
        auto query = gateQuery(subrequest, isHedge, now);
        if (!dispatch::isListed(*entry))
            query.hasListed = dispatch::hasListed(m_state.content.upstreams().of(subrequest.service));
        inputs.gate
            = dispatch::reasonAgainst(m_state.gate, { *entry, m_state.pool.load(upstream).misdirectedUntil }, query);
        isCold = dispatch::isColdAndBounded(m_state.gate, *entry, query);
        // Whether the request returns to a failure domain was decided when the upstream was chosen.
        if (inputs.gate == dispatch::GateReason::Returning)
            inputs.gate = dispatch::GateReason::None;
    }
    auto isExtra = dispatch::needsBudget(history);
    if (isExtra)
        inputs.budgetLeft = budgetLeft(subrequest, now);
    auto reason = dispatch::reasonNotToSend(inputs);
    subrequest.lacksBudget = reason == dispatch::SendReason::NoBudget;
    if (subrequest.lacksBudget)
        m_state.metrics.extraDenied();
    if (reason != dispatch::SendReason::None)
        return dispatch::toString(reason, inputs.gate);
    if (isExtra) {
        m_state.budget.tryTake(subrequest.service, budgetOf(m_state.settings.retryBudget), budgetPart(now), now);
        m_state.metrics.extraAttempt(cause);
    }
    if (isCold)
        m_state.gate.cold.take(dispatch::keyOf(entry->record), now);
    if (!m_state.gate.limits.isEmpty())
        m_state.gate.limits.take(dispatch::keyOf(entry->record), m_state.gate.limitShare, now);
    return {};
}

bool Exchange::isEvacuated(const Subrequest& subrequest) const
{
    const auto& evacuations = m_state.content.evacuations();
    if (evacuations.isEmpty())
        return false;
    auto entries = m_state.content.upstreams().of(subrequest.service);
    return dispatch::countUsable(entries, &evacuations) == 0 && dispatch::countUsable(entries) > 0;
}

std::string Exchange::evacuationNote() const
{
    const auto& evacuations = m_state.content.evacuations();
    std::set<std::string> domains;
    if (!evacuations.isEmpty()) {
        for (const auto& subrequest : m_subrequests) {
            for (const auto* entry : m_state.content.upstreams().of(subrequest.service)) {
                if (evacuations.isEvacuated(entry->record.failureDomain))
                    domains.insert(entry->record.failureDomain);
            }
        }
    }
    std::string note;
    for (const auto& domain : domains)
        note += (note.empty() ? "; evacuated failure domains: " : ", ") + domain;
    return note;
}

base::Duration Exchange::admissionWait(base::TimePoint now)
{
    if (m_state.gate.isEmpty() && m_configuration->coldRequestsPerSecond.empty())
        return base::Duration(0);
    const auto& evacuations = m_state.content.evacuations();
    std::vector<base::Duration> waits;
    for (const auto& subrequest : m_subrequests) {
        std::optional<base::Duration> shortest;
        auto entries = m_state.content.upstreams().of(subrequest.service);
        auto hasListed = dispatch::hasListed(entries);
        auto query = gateQuery(subrequest, false, now);
        for (const auto* entry : entries) {
            const auto& load = m_state.pool.load(entry->record.id);
            auto reason = dispatch::reasonByListing({ *entry, load.misdirectedUntil }, hasListed, now);
            if (reason != dispatch::GateReason::None || evacuations.isEvacuated(entry->record.failureDomain))
                continue;
            auto wait = dispatch::waitFor(m_state.gate, dispatch::keyOf(entry->record), now, load.waiting);
            if (!wait)
                continue;
            auto coldWait = dispatch::coldWaitFor(m_state.gate, { *entry, {}, load.waiting }, query);
            shortest = std::min(shortest.value_or(base::Duration::max()), std::max(*wait, coldWait));
        }
        if (shortest)
            waits.push_back(*shortest);
    }
    std::ranges::sort(waits);
    // The shortest wait after which enough subrequests find an upstream.
    auto total = static_cast<uint32_t>(m_subrequests.size());
    auto minShare = isFanOut() ? m_route->minShardShare : 1;
    for (uint32_t n = 0; n < waits.size(); ++n) {
        if (dispatch::isEnough(n + 1, total, minShare))
            return waits[n];
    }
    return base::Duration(0);
}

std::optional<dispatch::StatedLoad> Exchange::recordUpstreamReport(
    const Subrequest& subrequest, const Attempt& attempt, const HttpResponse& answer)
{
    const auto* entry = m_state.content.upstreams().find(attempt.upstream);
    if (!entry)
        return std::nullopt;
    auto now = base::BootClock::now();
    auto report = m_state.adapter.parseUpstreamReport(answer);
    auto fields = [&] {
        LogFields common;
        common.add("upstream", attempt.upstream).add("service", subrequest.service);
        return common;
    };
    auto log = [&](std::string_view event, const LogFields& line) {
        m_state.log.write(LineClass::Change, event, line, now);
    };
    m_state.reportProblems += report.problems.size();
    for (const auto& problem : report.problems)
        log("refused", fields().add("reason", problem));
    auto key = dispatch::keyOf(entry->record);
    if (report.isLimitReadable && m_state.gate.limits.observe(key, report.requestLimit, now))
        log("limit",
            fields()
                .add("state", report.requestLimit ? "limited" : "unlimited")
                .add("milliRequestsPerSecond", static_cast<int64_t>(report.requestLimit.value_or(0) * 1000)));
    if (report.warmUpLeft && m_state.gate.cold.observe(key, *report.warmUpLeft, now))
        log("cold", fields().add("ms", base::toMilliseconds(*report.warmUpLeft)));
    if (report.isLeaving && m_state.gate.holds.addLeaving(key, now)) {
        log("upstream", fields().add("source", "answer").add("state", "leaving"));
        m_state.pool.rejectWaiting(attempt.upstream, dispatch::toString(dispatch::GateReason::Leaving));
    }
    if (report.pause.value_or(base::Duration(0)).count() > 0) {
        if (m_state.gate.holds.pauseLeft(key, now).count() == 0)
            log("pause", fields().add("ms", base::toMilliseconds(*report.pause)));
        m_state.gate.holds.addPause(key, *report.pause, m_state.random, now);
        m_state.pool.rejectWaiting(attempt.upstream, dispatch::toString(dispatch::GateReason::Paused));
    }
    return report.statedLoad;
}

bool Exchange::admitDuringStop(base::TimePoint endsAt, base::TimePoint now)
{
    auto hosts = m_state.fleet.liveHeartbeats(now);
    auto hasOtherHost = std::ranges::any_of(
        hosts, [this](const auto* it) { return it != &m_state.fleet.self() && it->stage == fleet::HostStage::Ready; });
    dispatch::StopInputs inputs { now, endsAt, m_deadlineAt, m_route->latencyObjective,
        m_route->idempotent || isFanOut(), hasOtherHost };
    if (dispatch::mayBeginDuringStop(*m_latency, inputs))
        return true;
    refuse(503, "stopping",
        "the process stops in " + std::to_string(base::toMilliseconds(endsAt - now)) + " ms, the request may need "
            + std::to_string(base::toMilliseconds(dispatch::servingTime(*m_latency, inputs))) + " ms",
        dispatch::retryAfterStop(inputs), base::Duration(0));
    return false;
}

bool Exchange::admit(base::TimePoint now)
{
    auto grant = dispatch::findAccountGrant(m_state.table.get(), m_host, m_subrequests.front().service);
    if (!grant) {
        finish(plainAnswer(403, "the table grants the account no access to the service"), "no_access");
        return false;
    }
    m_trafficClass
        = { grant->account, grant->grant.weight, dispatch::rankOf(grant->grant.priority, m_route->priority) };
    if (!grant->grant.limitPerSecond)
        return true;
    auto hosts = fleet::servingCount(m_state.fleet, servingOf(m_state.settings.entryAnswers), now);
    if (auto wait = m_state.rates.take(*grant, hosts, now)) {
        refuse(429, "over_limit", "the account has exceeded its rate limit in the table", *wait);
        return false;
    }
    return true;
}

std::optional<base::Duration> Exchange::acquireFanOut(base::TimePoint now)
{
    const auto& shards = m_route->shards.front();
    m_sharesOverFleet = m_state.settings.admission.sharesOverFleet;
    if (m_sharesOverFleet)
        return m_state.admission.tryAcquire(shards, m_trafficClass, m_state.random, now);
    return m_state.limiter.tryAcquire(shards, m_trafficClass, now) ? std::nullopt : std::optional(minRetryAfter);
}

double Exchange::fanOutLimit() const
{
    const auto& shards = m_route->shards.front();
    return m_sharesOverFleet ? m_state.admission.limit(shards) : m_state.limiter.limit(shards);
}

bool Exchange::isOverloaded() const
{
    const auto& shards = m_route->shards.front();
    return m_sharesOverFleet ? m_state.admission.isOverloaded(shards) : m_state.limiter.isOverloaded(shards);
}

bool Exchange::isServable() const
{
    auto usable
        = static_cast<uint32_t>(std::ranges::count_if(m_subrequests, [](const auto& it) { return it.usable > 0; }));
    return dispatch::isEnough(
        usable, static_cast<uint32_t>(m_subrequests.size()), isFanOut() ? m_route->minShardShare : 1);
}

}
