#include "replay/Internal.h"

#include <algorithm>

namespace papayabend::replay {

namespace {

    using routing::AttemptStatus;

    uint32_t takeSlot(World& world)
    {
        if (world.freeCalls.empty()) {
            world.calls.emplace_back();
            return static_cast<uint32_t>(world.calls.size() - 1);
        }
        auto slot = world.freeCalls.back();
        world.freeCalls.pop_back();
        return slot;
    }

    void releaseIfEnded(World& world, uint32_t slot)
    {
        auto& call = world.calls[slot];
        if (call.isClientOpen || call.isServerOpen)
            return;
        ++call.generation;
        world.freeCalls.push_back(slot);
    }

    void scheduleCall(World& world, TimePoint time, EventKind kind, uint32_t slot)
    {
        const auto& call = world.calls[slot];
        schedule(world, time, kind, call.host, slot, call.generation);
    }

    Duration delayOf(const World& world, const Call& call)
    {
        return delayBetween(world, world.hosts[call.host].domain, world.upstreams[call.upstream].domain);
    }

    /** Ends the call at the upstream and lets the result travel back. */
    void returnResult(World& world, uint32_t slot, AttemptStatus status)
    {
        auto& call = world.calls[slot];
        auto& upstream = world.upstreams[call.upstream];
        call.isServerOpen = false;
        if (!call.isClientOpen) {
            releaseIfEnded(world, slot);
            return;
        }
        call.result.status = status;
        if (status != AttemptStatus::ConnectionLost && status != AttemptStatus::NotSent)
            call.result.load = routing::LoadReport { upstream.busy, upstream.queued, upstream.isDraining,
                call.isRunning || call.startedAt != TimePoint {} ? world.now - call.startedAt : Duration {} };
        auto arrival = world.now + delayOf(world, call);
        bool isReachable = isUpstreamReachable(world, world.hosts[call.host], upstream);
        if (isReachable)
            scheduleCall(world, arrival, EventKind::ResultArrives, slot);
        if (!isReachable || arrival > call.attempt.deadline)
            scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

    void startService(World& world, uint32_t slot);

    void startQueued(World& world, Upstream& upstream)
    {
        while (upstream.isUp && upstream.busy < upstream.slots && !upstream.queue.empty()) {
            auto slot = upstream.queue.front();
            upstream.queue.pop_front();
            startService(world, slot);
        }
    }

    void freeServer(World& world, uint32_t slot)
    {
        auto& call = world.calls[slot];
        auto& upstream = world.upstreams[call.upstream];
        std::erase(upstream.open, slot);
        if (call.isQueued) {
            std::erase(upstream.queue, slot);
            --upstream.queued;
        }
        if (call.isRunning) {
            --upstream.busy;
            upstream.busyTime += world.now - call.startedAt;
        }
        call.isQueued = false;
        call.isRunning = false;
    }

    void startService(World& world, uint32_t slot)
    {
        auto& call = world.calls[slot];
        auto& upstream = world.upstreams[call.upstream];
        auto& request = world.requests[call.request];
        if (call.isQueued)
            --upstream.queued;
        call.isQueued = false;
        call.isRunning = true;
        call.startedAt = world.now;
        ++upstream.busy;
        ++upstream.callsStarted;
        checkStart(world, call);
        ++request.callsStarted;
        if (call.attempt.body.starts_with("crash")) {
            ++upstream.crashes;
            killUpstream(world, call.upstream);
            if (world.crashRestartTime > Duration::zero())
                at(world, world.now + world.crashRestartTime,
                    [n = call.upstream](World& later) { restartUpstream(later, n); });
            return;
        }
        static const ServiceTime defaultTime;
        auto it = world.serviceTimes.find(call.attempt.service);
        // The key does not depend on the policy under test, so that all policies meet the same service times.
        auto key = (world.seed << 40) ^ (uint64_t(call.request) << 20) ^ (uint64_t(call.shard) << 52) ^ call.upstream;
        auto time = serviceTimeOf(it == world.serviceTimes.end() ? defaultTime : it->second, key);
        double factor = upstream.slowness;
        if (world.now < upstream.startedAt + upstream.coldTime)
            factor *= upstream.coldFactor;
        if (factor != 1)
            time = Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
        scheduleCall(world, world.now + time, EventKind::ServiceEnds, slot);
        if (call.isClientOpen && world.now + time + delayOf(world, call) > call.attempt.deadline)
            scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

    std::optional<AttemptStatus> refusalOf(World& world, Call& call)
    {
        const auto& upstream = world.upstreams[call.upstream];
        if (upstream.isDraining)
            return AttemptStatus::Draining;
        if (!call.attempt.isExecution) {
            auto service = world.truth.find(call.attempt.service);
            if (service == world.truth.end())
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

    void fillSearchResult(World& world, Call& call)
    {
        call.result.shard = call.attempt.shard;
        call.result.snapshot = call.attempt.snapshot;
        auto n = std::min(world.hitsPerShard, call.attempt.maxHits);
        for (uint32_t i = 0; i < n; ++i)
            call.result.hits.push_back(
                { documentOf(call.attempt.body, call.attempt.snapshot, call.shard, i), 1.0 / (1 + i + call.shard) });
        auto& request = world.requests[call.request];
        if (request.outcome == RequestOutcome::Open)
            request.searched.push_back({ call.attempt.snapshot, call.shard, call.result.unitsSearched });
    }

    void failAfter(World& world, uint32_t slot, AttemptStatus status, Duration delay)
    {
        auto& call = world.calls[slot];
        call.isServerOpen = false;
        call.result.status = status;
        scheduleCall(world, world.now + delay, EventKind::ResultArrives, slot);
        if (world.now + delay > call.attempt.deadline)
            scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
    }

}

void sendCall(World& world, Host& host, routing::Attempt&& attempt)
{
    ++world.callsSent;
    if (world.recorder.attemptSent)
        world.recorder.attemptSent(world, host, attempt);
    auto request = host.requests.find(attempt.request);
    auto upstreamIt = world.upstreamsByAddress.find(attempt.address);
    if (request == host.requests.end() || upstreamIt == world.upstreamsByAddress.end()) {
        violate(world, "attempt for an unknown request or address " + attempt.address);
        return;
    }
    auto slot = takeSlot(world);
    auto& call = world.calls[slot];
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
    ++world.requests[call.request].callsSent;
    if (!host.calls.emplace(call.attempt.id, slot).second)
        violate(world, "attempt number " + std::to_string(call.attempt.id) + " is used twice");
    auto& upstream = world.upstreams[call.upstream];
    auto delay = delayOf(world, call);
    if (!isUpstreamReachable(world, host, upstream)) {
        call.isServerOpen = false;
        scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
        return;
    }
    if (host.connections.size() <= call.upstream)
        host.connections.resize(world.upstreams.size(), TimePoint::max());
    auto& readyAt = host.connections[call.upstream];
    if (readyAt == TimePoint::max()) {
        if (!upstream.isUp || upstream.connections >= upstream.connectionLimit) {
            failAfter(world, slot, AttemptStatus::NotSent, delay * 2);
            return;
        }
        ++upstream.connections;
        readyAt = world.now + delay * 2 + upstream.connectTime;
    }
    scheduleCall(world, std::max(world.now, readyAt) + delay, EventKind::CallArrives, slot);
}

void cancelCall(World& world, Host& host, routing::AttemptId id)
{
    auto it = host.calls.find(id);
    if (it == host.calls.end())
        return;
    auto slot = it->second;
    auto& call = world.calls[slot];
    if (call.isServerOpen && isUpstreamReachable(world, host, world.upstreams[call.upstream]))
        scheduleCall(world, world.now + delayOf(world, call), EventKind::CancelArrives, slot);
    call.result.status = AttemptStatus::Cancelled;
    call.result.load.reset();
    call.result.hits.clear();
    scheduleCall(world, world.now, EventKind::ResultArrives, slot);
}

void callArrives(World& world, uint32_t slot)
{
    auto& call = world.calls[slot];
    auto& upstream = world.upstreams[call.upstream];
    if (!call.isServerOpen)
        return;
    if (!isUpstreamReachable(world, world.hosts[call.host], upstream)) {
        call.isServerOpen = false;
        scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
        return;
    }
    if (!upstream.isUp) {
        returnResult(world, slot, AttemptStatus::ConnectionLost);
        return;
    }
    if (auto status = refusalOf(world, call)) {
        upstream.callsShed += *status == AttemptStatus::Shed;
        returnResult(world, slot, *status);
        return;
    }
    upstream.open.push_back(slot);
    if (upstream.busy < upstream.slots) {
        startService(world, slot);
        return;
    }
    call.isQueued = true;
    upstream.queue.push_back(slot);
    ++upstream.queued;
    scheduleCall(world, call.attempt.deadline, EventKind::CallDeadline, slot);
}

void serviceEnds(World& world, uint32_t slot)
{
    auto& call = world.calls[slot];
    if (!call.isRunning)
        return;
    auto& upstream = world.upstreams[call.upstream];
    if (call.attempt.isExecution)
        call.result.body = "done " + call.attempt.body;
    else
        fillSearchResult(world, call);
    freeServer(world, slot);
    startQueued(world, upstream);
    returnResult(world, slot, AttemptStatus::Ran);
}

void callDeadline(World& world, uint32_t slot)
{
    auto& call = world.calls[slot];
    if (call.isServerOpen) {
        call.isServerOpen = false;
        freeServer(world, slot);
        startQueued(world, world.upstreams[call.upstream]);
    }
    if (call.isClientOpen) {
        call.result.status = AttemptStatus::TimedOut;
        call.result.load.reset();
        call.result.hits.clear();
        resultArrives(world, slot);
        return;
    }
    releaseIfEnded(world, slot);
}

void resultArrives(World& world, uint32_t slot)
{
    auto& call = world.calls[slot];
    if (!call.isClientOpen)
        return;
    call.isClientOpen = false;
    auto& host = world.hosts[call.host];
    host.calls.erase(call.attempt.id);
    auto result = std::move(call.result);
    if (world.recorder.attemptEnded)
        world.recorder.attemptEnded(world, host, call.attempt, result);
    releaseIfEnded(world, slot);
    perform(world, host, host.engine->attemptFinished(result, world.now));
}

void cancelArrives(World& world, uint32_t slot)
{
    auto& call = world.calls[slot];
    if (!call.isServerOpen)
        return;
    call.isServerOpen = false;
    freeServer(world, slot);
    startQueued(world, world.upstreams[call.upstream]);
    releaseIfEnded(world, slot);
}

void dropCallsOf(World& world, Host& host)
{
    for (auto [id, slot] : host.calls)
        world.calls[slot].isClientOpen = false;
    auto slots = std::move(host.calls);
    host.calls.clear();
    for (auto [id, slot] : slots) {
        auto& call = world.calls[slot];
        if (call.isServerOpen)
            scheduleCall(world, world.now + delayOf(world, call), EventKind::CancelArrives, slot);
        else
            releaseIfEnded(world, slot);
    }
    for (size_t n = 0; n < host.connections.size(); ++n) {
        if (host.connections[n] != TimePoint::max())
            --world.upstreams[n].connections;
    }
    host.connections.clear();
}

void killUpstream(World& world, uint32_t n)
{
    auto& upstream = world.upstreams[n];
    if (!upstream.isUp)
        return;
    upstream.isUp = false;
    for (auto& host : world.hosts) {
        if (n < host.connections.size())
            host.connections[n] = TimePoint::max();
    }
    upstream.connections = 0;
    auto open = std::move(upstream.open);
    upstream.open.clear();
    for (auto slot : open) {
        freeServer(world, slot);
        returnResult(world, slot, AttemptStatus::ConnectionLost);
    }
    upstream.queue.clear();
}

void restartUpstream(World& world, uint32_t n)
{
    auto& upstream = world.upstreams[n];
    killUpstream(world, n);
    upstream.isUp = true;
    upstream.isDraining = false;
    upstream.startedAt = world.now;
}

}
