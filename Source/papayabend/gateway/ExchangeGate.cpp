#include "papayabend/dispatch/Gather.h"
#include "papayabend/dispatch/StopAdmission.h"
#include "papayabend/gateway/Exchange.h"

#include <algorithm>

namespace papayabend::gateway {

bool Exchange::isHeldBack(const discovery::UpstreamRecord& record, bool isHedge, base::TimePoint now) const
{
    return !m_state.gate.isEmpty() && !dispatch::isOpen(m_state.gate, dispatch::keyOf(record), isHedge, now);
}

base::Duration Exchange::admissionWait(base::TimePoint now) const
{
    if (m_state.gate.isEmpty())
        return base::Duration(0);
    std::vector<base::Duration> waits;
    for (const auto& subrequest : m_subrequests) {
        std::optional<base::Duration> shortest;
        for (const auto* entry : m_state.content.upstreams().of(subrequest.service)) {
            if (!dispatch::isUsable({ entry, &m_state.pool.load(entry->record.id) }, now))
                continue;
            if (auto wait = dispatch::waitFor(m_state.gate, dispatch::keyOf(entry->record), now))
                shortest = std::min(shortest.value_or(*wait), *wait);
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

void Exchange::recordUpstreamReport(const Subrequest& subrequest, const Attempt& attempt, const HttpResponse& answer)
{
    const auto* entry = m_state.content.upstreams().find(attempt.upstream);
    if (!entry)
        return;
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
    for (const auto& problem : report.problems)
        log("refused", fields().add("reason", problem));
    auto key = dispatch::keyOf(entry->record);
    if (report.isLimitReadable && m_state.gate.limits.observe(key, report.requestLimit, now))
        log("limit",
            fields()
                .add("state", report.requestLimit ? "limited" : "unlimited")
                .add("milliRequestsPerSecond", static_cast<int64_t>(report.requestLimit.value_or(0) * 1000)));
    if (report.isLeaving && m_state.gate.holds.addLeaving(key, now)) {
        log("upstream", fields().add("source", "answer").add("state", "leaving"));
        m_state.pool.rejectWaiting(attempt.upstream, "the upstream leaves");
    }
    if (report.pause.value_or(base::Duration(0)).count() > 0) {
        if (m_state.gate.holds.pauseLeft(key, now).count() == 0)
            log("pause", fields().add("ms", base::toMilliseconds(*report.pause)));
        m_state.gate.holds.addPause(key, *report.pause, m_state.random, now);
        m_state.pool.rejectWaiting(attempt.upstream, "the upstream has asked for a pause");
    }
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
