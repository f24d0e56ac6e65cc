#include "papayabend/routing/UpstreamTable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <mutex>

namespace papayabend::routing {

namespace {

    constexpr std::array<std::string_view, 6> conditionNames { "cold", "ramping", "available", "overloaded", "draining",
        "unreachable" };
    constexpr double latencyWeight = 0.1;
    // One straggler must not keep work away from an upstream for many requests.
    constexpr double maxLatencyStep = 3;
    constexpr double shedFactor = 0.7;
    constexpr uint32_t maxBackoffDoublings = 10;
    constexpr base::Duration probeScanPeriod = std::chrono::milliseconds(50);

    int64_t toUs(base::TimePoint time) { return time.time_since_epoch().count(); }

    double toUs(base::Duration duration) { return static_cast<double>(duration.count()); }

    base::Duration backoff(const RecoverySettings& recovery, uint32_t failures)
    {
        auto doublings = std::min(failures > 0 ? failures - 1 : 0, maxBackoffDoublings);
        return std::min(recovery.minBackoff * (int64_t { 1 } << doublings), recovery.maxBackoff);
    }

    void recordEvidence(UpstreamState& state, std::atomic<bool>& flag, base::Duration hold, base::TimePoint now)
    {
        state.evidenceAt.store(toUs(now));
        state.probeAt.store(toUs(now + hold));
        flag.store(true);
    }

    void markUnreachable(UpstreamState& state, const RoutingSettings& settings, base::TimePoint now)
    {
        // The attempts that one lost connection ends together count as one failure.
        auto failures = state.isUnreachable.load() ? state.failures.load() : state.failures.fetch_add(1) + 1;
        recordEvidence(state, state.isUnreachable, backoff(settings.recovery, failures), now);
    }

    void returnToService(UpstreamState& state)
    {
        state.isDraining.store(false);
        state.isUnreachable.store(false);
        state.rampStart.store(0);
        state.latencyUs.store(0);
        state.inFlightLimit.store(0);
    }

    void recordLatency(UpstreamState& state, base::Duration elapsed, const AttemptResult& result, base::TimePoint now)
    {
        auto sample = std::max(toUs(elapsed), 1.0);
        auto old = state.latencyUs.load();
        if (result.status != AttemptStatus::Ran && sample < old)
            return; // The time of a cancelled attempt is only a lower bound.
        state.latencyAt.store(toUs(now));
        auto bounded = std::min(sample, old * maxLatencyStep);
        state.latencyUs.store(old == 0 ? sample : old + latencyWeight * (bounded - old));
        if (!result.load || result.load->serviceTime.count() == 0)
            return;
        // The smallest seen time outside the slot is mostly network; it may rise slowly when a link changes.
        auto returnDelay = std::max(sample - toUs(result.load->serviceTime), 0.0) / 2;
        auto known = state.returnDelayUs.load();
        state.returnDelayUs.store(known == 0 ? returnDelay : std::min(returnDelay, known * 1.01 + 1));
    }

    void raiseLimit(UpstreamState& state)
    {
        auto limit = state.inFlightLimit.load();
        if (limit >= 1)
            state.inFlightLimit.store(limit + 0.1 / limit);
    }

    void lowerLimit(UpstreamState& state, base::TimePoint now)
    {
        // Attempts shed together come from one overload, so the limit falls once for each latency.
        if (toUs(now) - state.limitLoweredAt.load() < static_cast<int64_t>(state.latencyUs.load()))
            return;
        state.limitLoweredAt.store(toUs(now));
        state.inFlightLimit.store(std::max(1.0, state.inFlightLimit.load() * shedFactor));
    }

    void recordAnswer(UpstreamState& state, const AttemptResult& result, base::TimePoint now)
    {
        if (!state.isUnreachable.load())
            state.failures.store(0);
        int64_t cold = 0;
        state.rampStart.compare_exchange_strong(cold, toUs(now));
        if (!result.load)
            return;
        state.reportedQueue.store(result.load->queued);
        state.reportedAt.store(toUs(now));
    }

    void finishProbe(UpstreamState& state, const AttemptResult& result, const StartedAttempt& probe,
        const RoutingSettings& settings, base::TimePoint now)
    {
        state.isProbing.store(false);
        auto verdict = verdictOf(result.status);
        auto isAnswered = verdict == base::Verdict::Ran
            || (verdict == base::Verdict::NotRun && result.status != AttemptStatus::NotSent
                && result.status != AttemptStatus::Draining);
        if (isAnswered && !(result.load && result.load->isDraining)) {
            // Evidence that is newer than the probe outweighs it.
            if (state.evidenceAt.load() <= toUs(probe.sent))
                returnToService(state);
            return;
        }
        auto failures = state.failures.fetch_add(1) + 1;
        auto hold = backoff(settings.recovery, failures);
        if (state.isDraining.load())
            hold = std::max(hold, settings.recovery.drainHold);
        state.probeAt.store(toUs(now + hold));
    }

}

std::string_view toString(Condition condition) { return conditionNames[static_cast<size_t>(condition)]; }

UpstreamTable::UpstreamTable(RoutingSettings settings) { configure(std::move(settings)); }

void UpstreamTable::configure(RoutingSettings settings)
{
    m_settings = std::move(settings);
    setServingHosts(m_settings.servingHosts);
}

UpstreamState& UpstreamTable::state(catalog::UpstreamId id)
{
    auto n = catalog::toIndex(id);
    {
        std::shared_lock lock(m_mutex);
        if (n < m_states.size())
            return m_states[n];
    }
    std::unique_lock lock(m_mutex);
    while (m_states.size() <= n)
        m_states.emplace_back();
    return m_states[n];
}

void UpstreamTable::catalogSeen(const catalog::Catalog& catalog, base::TimePoint)
{
    auto seen = m_catalogVersion.load();
    if (seen == catalog.version || !m_catalogVersion.compare_exchange_strong(seen, catalog.version))
        return;
    size_t count = 0;
    {
        std::shared_lock lock(m_mutex);
        count = m_states.size();
    }
    for (size_t n = 0; n < count; ++n) {
        auto id = static_cast<catalog::UpstreamId>(n);
        if (!catalog::findUpstream(catalog, id))
            state(id).wasListed.store(false);
    }
    for (const auto& upstream : catalog.upstreams) {
        auto& it = state(upstream.id);
        auto wasAway = it.wasLeaving.exchange(upstream.isLeaving) || !it.wasListed.exchange(true);
        if (wasAway && !upstream.isLeaving && seen != 0)
            returnToService(it);
    }
}

bool UpstreamTable::claimProbeScan(base::TimePoint now)
{
    auto next = m_nextProbeScan.load();
    return toUs(now) >= next && m_nextProbeScan.compare_exchange_strong(next, toUs(now + probeScanPeriod));
}

Condition conditionOf(const UpstreamState& state, const RoutingSettings& settings, base::TimePoint now)
{
    if (state.isDraining.load())
        return Condition::Draining;
    if (state.isUnreachable.load())
        return Condition::Unreachable;
    if (toUs(now) < state.overloadedUntil.load())
        return Condition::Overloaded;
    auto rampStart = state.rampStart.load();
    if (rampStart == 0)
        return Condition::Cold;
    return toUs(now) - rampStart < settings.recovery.ramp.count() ? Condition::Ramping : Condition::Available;
}

uint32_t connectionsPerHost(const UpstreamTable& table, const catalog::Upstream& upstream)
{
    auto all = std::floor(table.settings().connectionShare * upstream.connectionLimit);
    return std::max(1U, static_cast<uint32_t>(all / table.servingHosts()));
}

uint32_t inFlightLimit(UpstreamTable& table, const catalog::Upstream& upstream)
{
    auto& state = table.state(upstream.id);
    auto most = static_cast<double>(connectionsPerHost(table, upstream));
    auto limit = state.inFlightLimit.load();
    if (limit == 0 || limit > most)
        state.inFlightLimit.store(limit = most);
    return static_cast<uint32_t>(limit);
}

void attemptStarted(UpstreamTable& table, const Attempt& attempt, base::TimePoint now)
{
    if (!table.started().insert({ attempt.id, { attempt.upstream, now, attempt.snapshot, attempt.isProbe } }))
        return;
    if (!attempt.isProbe)
        table.state(attempt.upstream).inFlight.fetch_add(1);
}

bool attemptFinished(UpstreamTable& table, const AttemptResult& result, base::TimePoint now)
{
    UpstreamTable::Started::accessor accessor;
    if (!table.started().find(accessor, result.attempt))
        return false;
    auto started = accessor->second;
    table.started().erase(accessor);
    const auto& settings = table.settings();
    auto& state = table.state(started.upstream);
    if (started.isProbe) {
        finishProbe(state, result, started, settings, now);
        return true;
    }
    state.inFlight.fetch_sub(1);
    if (result.status == AttemptStatus::Draining || (result.load && result.load->isDraining))
        recordEvidence(state, state.isDraining, settings.recovery.drainHold, now);
    switch (result.status) {
    case AttemptStatus::NotSent:
    case AttemptStatus::ConnectionLost:
        markUnreachable(state, settings, now);
        break;
    case AttemptStatus::Shed:
        state.overloadedUntil.store(toUs(now + settings.recovery.overloadHold));
        lowerLimit(state, now);
        break;
    case AttemptStatus::SnapshotUnavailable:
    case AttemptStatus::UnknownShard:
        state.missingSnapshot.store(started.snapshot);
        state.missingSnapshotUntil.store(toUs(now + settings.recovery.snapshotHold));
        break;
    case AttemptStatus::Ran:
        recordAnswer(state, result, now);
        raiseLimit(state);
        [[fallthrough]];
    case AttemptStatus::TimedOut:
    case AttemptStatus::Cancelled:
        if (started.sent != base::TimePoint {})
            recordLatency(state, now - started.sent, result, now);
        break;
    default:
        break;
    }
    return true;
}

std::vector<Attempt> dueProbes(UpstreamTable& table, const catalog::Catalog& catalog, RequestId request,
    std::atomic<AttemptId>& lastProbe, base::TimePoint now)
{
    std::vector<Attempt> probes;
    if (!table.claimProbeScan(now))
        return probes;
    for (const auto& upstream : catalog.upstreams) {
        auto& state = table.state(upstream.id);
        if (!state.isDraining.load() && !state.isUnreachable.load())
            continue;
        if (upstream.isLeaving || toUs(now) < state.probeAt.load() || state.isProbing.exchange(true))
            continue;
        Attempt probe;
        probe.id = ++lastProbe;
        probe.request = request;
        probe.upstream = upstream.id;
        probe.address = upstream.address;
        probe.deadline = now + table.settings().recovery.probeTimeout;
        probe.isProbe = true;
        attemptStarted(table, probe, now);
        probes.push_back(std::move(probe));
    }
    return probes;
}

}
