#include "replay/Internal.h"

#include <algorithm>

namespace papayabend::replay {

namespace {

    using routing::AttemptStatus;

    uint32_t takeSlot(Simulation& simulation)
    {
        if (simulation.freeCalls.empty()) {
            simulation.calls.emplace_back();
            return static_cast<uint32_t>(simulation.calls.size() - 1);
        }
        auto slot = simulation.freeCalls.back();
        simulation.freeCalls.pop_back();
        return slot;
    }

    void releaseIfEnded(Simulation& simulation, uint32_t slot)
    {
        auto& call = simulation.calls[slot];
        if (call.isClientOpen || call.isServerOpen)
            return;
        ++call.generation;
        simulation.freeCalls.push_back(slot);
    }

    void scheduleCall(Simulation& simulation, TimePoint time, EventKind kind, uint32_t slot)
    {
        const auto& call = simulation.calls[slot];
        schedule(simulation, time, kind, call.host, slot, call.generation);
    }

    Duration delayOf(const Simulation& simulation, const Call& call)
    {
        return delayBetween(simulation, simulation.hosts[call.host].domain, simulation.upstreams[call.upstream].domain);
    }

    /** Ends the call at the upstream and lets the result travel back. */
    void returnResult(Simulation& simulation, uint32_t slot, AttemptStatus status)
    {
        auto& call = simulation.calls[slot];
        auto& upstream = simulation.upstreams[call.upstream];
        call.isServerOpen = false;
        if (!call.isClientOpen) {
            releaseIfEnded(simulation, slot);
            return;
        }
        call.result.status = status;
        if (status != AttemptStatus::ConnectionLost && status != AttemptStatus::NotSent)
            call.result.load = routing::LoadReport { upstream.busy, upstream.queued, upstream.isDraining,
                call.isRunning || call.startedAt != TimePoint {} ? simulation.now - call.startedAt : Duration {} };
        auto arrival = simulation.now + delayOf(simulation, call);
        bool isReachable = isUpstreamReachable(simulation, simulation.hosts[call.host], upstream);
        if (isReachable)
            scheduleCall(simulation, arrival, EventKind::ResultArrives, slot);
        if (!isReachable || arrival > call.attempt.deadline)
            scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

    void startService(Simulation& simulation, uint32_t slot);

    void startQueued(Simulation& simulation, Upstream& upstream)
    {
        while (upstream.isUp && upstream.busy < upstream.slots && !upstream.queue.empty()) {
            auto slot = upstream.queue.front();
            upstream.queue.pop_front();
            startService(simulation, slot);
        }
    }

    void freeServer(Simulation& simulation, uint32_t slot)
    {
        auto& call = simulation.calls[slot];
        auto& upstream = simulation.upstreams[call.upstream];
        std::erase(upstream.open, slot);
        if (call.isQueued) {
            std::erase(upstream.queue, slot);
            --upstream.queued;
        }
        if (call.isRunning) {
            --upstream.busy;
            upstream.busyTime += simulation.now - call.startedAt;
        }
        call.isQueued = false;
        call.isRunning = false;
    }

    void startService(Simulation& simulation, uint32_t slot)
    {
        auto& call = simulation.calls[slot];
        auto& upstream = simulation.upstreams[call.upstream];
        auto& request = simulation.requests[call.request];
        if (call.isQueued)
            --upstream.queued;
        call.isQueued = false;
        call.isRunning = true;
        call.startedAt = simulation.now;
        ++upstream.busy;
        ++upstream.callsStarted;
        checkStart(simulation, call);
        ++request.callsStarted;
        if (call.attempt.body.starts_with("crash")) {
            ++upstream.crashes;
            killUpstream(simulation, call.upstream);
            if (simulation.crashRestartTime > Duration::zero())
                at(simulation, simulation.now + simulation.crashRestartTime,
                    [n = call.upstream](Simulation& later) { restartUpstream(later, n); });
            return;
        }
        static const ServiceTime defaultTime;
        auto it = simulation.serviceTimes.find(call.attempt.service);
        // The key does not depend on the policy under test, so that all policies meet the same service times.
        auto key
            = (simulation.seed << 40) ^ (uint64_t(call.request) << 20) ^ (uint64_t(call.shard) << 52) ^ call.upstream;
        auto time = serviceTimeOf(it == simulation.serviceTimes.end() ? defaultTime : it->second, key);
        double factor = upstream.slowdown;
        if (simulation.now < upstream.startedAt + upstream.coldTime)
            factor *= upstream.coldFactor;
        if (factor != 1)
            time = Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
        scheduleCall(simulation, simulation.now + time, EventKind::ServiceEnds, slot);
        if (call.isClientOpen && simulation.now + time + delayOf(simulation, call) > call.attempt.deadline)
            scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

    std::optional<AttemptStatus> refusalOf(Simulation& simulation, Call& call)
    {
        const auto& upstream = simulation.upstreams[call.upstream];
        if (upstream.isDraining)
            return AttemptStatus::Draining;
        if (!call.attempt.isExecution) {
            auto service = simulation.publishedSnapshots.find(call.attempt.service);
            if (service == simulation.publishedSnapshots.end())
                return AttemptStatus::UnknownShard;
            auto snapshot = service->second.find(call.attempt.snapshot);
            auto isDropped = std::ranges::any_of(upstream.droppedSnapshots,
                [&](const auto& it) { return it.second == call.attempt.snapshot && it.first == call.attempt.service; });
            if (snapshot == service->second.end() || isDropped)
                return AttemptStatus::SnapshotUnavailable;
            auto shard = snapshot->second.shards.find(call.attempt.shard);
            if (shard == snapshot->second.shards.end()
                || std::ranges::find(shard->second.replicas, call.upstream) == shard->second.replicas.end())
                return AttemptStatus::UnknownShard;
            call.shard = shard->second.index;
            call.result.unitsSearched = shard->second.units;
        }
        if (upstream.isShedding || (upstream.busy >= upstream.slots && upstream.queued >= upstream.queueBound))
            return AttemptStatus::Shed;
        return std::nullopt;
    }

    void fillSearchResult(Simulation& simulation, Call& call)
    {
        call.result.shard = call.attempt.shard;
        call.result.snapshot = call.attempt.snapshot;
        auto n = std::min(simulation.hitsPerShard, call.attempt.maxHits);
        for (uint32_t i = 0; i < n; ++i)
            call.result.hits.push_back(
                { documentOf(call.attempt.body, call.attempt.snapshot, call.shard, i), 1.0 / (1 + i + call.shard) });
        auto& request = simulation.requests[call.request];
        if (request.outcome == RequestOutcome::Open)
            request.searched.push_back({ call.attempt.snapshot, call.shard, call.result.unitsSearched });
    }

    void failAfter(Simulation& simulation, uint32_t slot, AttemptStatus status, Duration delay)
    {
        auto& call = simulation.calls[slot];
        call.isServerOpen = false;
        call.result.status = status;
        scheduleCall(simulation, simulation.now + delay, EventKind::ResultArrives, slot);
        if (simulation.now + delay > call.attempt.deadline)
            scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

}

void sendCall(Simulation& simulation, Host& host, routing::Attempt&& attempt)
{
    ++simulation.callsSent;
    if (simulation.recorder.attemptSent)
        simulation.recorder.attemptSent(simulation, host, attempt);
    auto request = host.requests.find(attempt.request);
    auto upstreamIt = simulation.upstreamsByAddress.find(attempt.address);
    if (request == host.requests.end() || upstreamIt == simulation.upstreamsByAddress.end()) {
        recordViolation(simulation, "attempt for an unknown request or address " + attempt.address);
        return;
    }
    auto slot = takeSlot(simulation);
    auto& call = simulation.calls[slot];
    call.host = host.index;
    call.hostIncarnation = host.incarnation;
    call.upstream = upstreamIt->second;
    call.request = request->second;
    call.startedAt = {};
    call.isClientOpen = true;
    call.isServerOpen = true;
    call.result = {};
    call.result.attempt = attempt.id;
    call.result.request = attempt.request;
    call.result.upstream = attempt.upstream;
    call.attempt = std::move(attempt);
    ++simulation.requests[call.request].callsSent;
    if (!host.calls.emplace(call.attempt.id, slot).second)
        recordViolation(simulation, "attempt number " + std::to_string(call.attempt.id) + " is used twice");
    auto& upstream = simulation.upstreams[call.upstream];
    auto delay = delayOf(simulation, call);
    if (!isUpstreamReachable(simulation, host, upstream)) {
        call.isServerOpen = false;
        scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
        return;
    }
    if (host.connections.size() <= call.upstream)
        host.connections.resize(simulation.upstreams.size(), TimePoint::max());
    auto& readyAt = host.connections[call.upstream];
    if (readyAt == TimePoint::max()) {
        if (!upstream.isUp || upstream.connections >= upstream.connectionLimit) {
            failAfter(simulation, slot, AttemptStatus::NotSent, delay * 2);
            return;
        }
        ++upstream.connections;
        readyAt = simulation.now + delay * 2 + upstream.connectTime;
    }
    scheduleCall(simulation, std::max(simulation.now, readyAt) + delay, EventKind::CallArrives, slot);
}

void cancelCall(Simulation& simulation, Host& host, routing::AttemptId id)
{
    auto it = host.calls.find(id);
    if (it == host.calls.end())
        return;
    auto slot = it->second;
    auto& call = simulation.calls[slot];
    if (call.isServerOpen && isUpstreamReachable(simulation, host, simulation.upstreams[call.upstream]))
        scheduleCall(simulation, simulation.now + delayOf(simulation, call), EventKind::CancelArrives, slot);
    call.result.status = AttemptStatus::Cancelled;
    call.result.load.reset();
    call.result.hits.clear();
    scheduleCall(simulation, simulation.now, EventKind::ResultArrives, slot);
}

void callArrives(Simulation& simulation, uint32_t slot)
{
    auto& call = simulation.calls[slot];
    auto& upstream = simulation.upstreams[call.upstream];
    if (!call.isServerOpen)
        return;
    if (!isUpstreamReachable(simulation, simulation.hosts[call.host], upstream)) {
        call.isServerOpen = false;
        scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
        return;
    }
    if (!upstream.isUp) {
        returnResult(simulation, slot, AttemptStatus::ConnectionLost);
        return;
    }
    if (auto status = refusalOf(simulation, call)) {
        upstream.callsShed += *status == AttemptStatus::Shed;
        returnResult(simulation, slot, *status);
        return;
    }
    upstream.open.push_back(slot);
    if (upstream.busy < upstream.slots) {
        startService(simulation, slot);
        return;
    }
    call.isQueued = true;
    upstream.queue.push_back(slot);
    ++upstream.queued;
    scheduleCall(simulation, call.attempt.deadline, EventKind::CallDeadline, slot);
}

void serviceEnds(Simulation& simulation, uint32_t slot)
{
    auto& call = simulation.calls[slot];
    if (!call.isRunning)
        return;
    auto& upstream = simulation.upstreams[call.upstream];
    if (call.attempt.isExecution)
        call.result.body = "done " + call.attempt.body;
    else
        fillSearchResult(simulation, call);
    freeServer(simulation, slot);
    startQueued(simulation, upstream);
    returnResult(simulation, slot, AttemptStatus::Ran);
}

void callDeadline(Simulation& simulation, uint32_t slot)
{
    auto& call = simulation.calls[slot];
    if (call.isServerOpen) {
        call.isServerOpen = false;
        freeServer(simulation, slot);
        startQueued(simulation, simulation.upstreams[call.upstream]);
    }
    if (call.isClientOpen) {
        call.result.status = AttemptStatus::TimedOut;
        call.result.load.reset();
        call.result.hits.clear();
        resultArrives(simulation, slot);
        return;
    }
    releaseIfEnded(simulation, slot);
}

void resultArrives(Simulation& simulation, uint32_t slot)
{
    auto& call = simulation.calls[slot];
    if (!call.isClientOpen)
        return;
    call.isClientOpen = false;
    auto& host = simulation.hosts[call.host];
    host.calls.erase(call.attempt.id);
    auto result = std::move(call.result);
    if (simulation.recorder.attemptEnded)
        simulation.recorder.attemptEnded(simulation, host, call.attempt, result);
    releaseIfEnded(simulation, slot);
    perform(simulation, host, host.engine->attemptFinished(result, simulation.now));
}

void cancelArrives(Simulation& simulation, uint32_t slot)
{
    auto& call = simulation.calls[slot];
    if (!call.isServerOpen)
        return;
    call.isServerOpen = false;
    freeServer(simulation, slot);
    startQueued(simulation, simulation.upstreams[call.upstream]);
    releaseIfEnded(simulation, slot);
}

void dropCallsOf(Simulation& simulation, Host& host)
{
    for (auto [id, slot] : host.calls)
        simulation.calls[slot].isClientOpen = false;
    auto slots = std::move(host.calls);
    host.calls.clear();
    for (auto [id, slot] : slots) {
        auto& call = simulation.calls[slot];
        if (call.isServerOpen)
            scheduleCall(simulation, simulation.now + delayOf(simulation, call), EventKind::CancelArrives, slot);
        else
            releaseIfEnded(simulation, slot);
    }
    for (size_t n = 0; n < host.connections.size(); ++n) {
        if (host.connections[n] != TimePoint::max())
            --simulation.upstreams[n].connections;
    }
    host.connections.clear();
}

void killUpstream(Simulation& simulation, uint32_t n)
{
    auto& upstream = simulation.upstreams[n];
    if (!upstream.isUp)
        return;
    upstream.isUp = false;
    for (auto& host : simulation.hosts) {
        if (n < host.connections.size())
            host.connections[n] = TimePoint::max();
    }
    upstream.connections = 0;
    auto open = std::move(upstream.open);
    upstream.open.clear();
    for (auto slot : open) {
        freeServer(simulation, slot);
        returnResult(simulation, slot, AttemptStatus::ConnectionLost);
    }
    upstream.queue.clear();
}

void restartUpstream(Simulation& simulation, uint32_t n)
{
    auto& upstream = simulation.upstreams[n];
    killUpstream(simulation, n);
    upstream.isUp = true;
    upstream.isDraining = false;
    upstream.startedAt = simulation.now;
}

}
