#include "replay/World.h"

#include "replay/Internal.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace papayabend::replay {

namespace {

    constexpr size_t seedCount = 3;

    void requestArrives(World& world, uint32_t n)
    {
        auto& request = world.requests[n];
        auto& host = world.hosts[request.host];
        if (!host.engine) {
            request.outcome = RequestOutcome::Reset;
            request.finishedAt = world.now;
            if (world.recorder.reset)
                world.recorder.reset(world, request);
            return;
        }
        request.receivedAt = world.now;
        if (request.kind != RequestKind::Search)
            return executionRequested(world, host, request);
        request.id = host.engine->nextRequest();
        request.hostIncarnation = host.incarnation;
        host.requests.emplace(request.id, n);
        query::SearchRequest search;
        search.id = request.id;
        search.account = request.account;
        search.service = request.service;
        search.query = request.body;
        search.maxHits = request.maxHits;
        search.received = world.now;
        search.deadline = world.now + request.timeout;
        perform(world, host, host.engine->submitSearch(std::move(search), world.now));
    }

    void pullArrival(World& world)
    {
        if (world.nextArrival)
            submit(world, std::move(*world.nextArrival));
        world.nextArrival = world.arrivals();
        if (world.nextArrival)
            schedule(world, world.nextArrival->sentAt, EventKind::NextArrival, 0, 0, 0);
    }

    bool isHostEvent(EventKind kind)
    {
        switch (kind) {
        case EventKind::ExecutionArrives:
        case EventKind::ForwardArrives:
        case EventKind::ForwardReplyArrives:
        case EventKind::RequestArrives:
        case EventKind::ResultArrives:
        case EventKind::Timer:
        case EventKind::Tick:
        case EventKind::PlatformAnswers:
        case EventKind::PeerMessageArrives:
            return true;
        default:
            return false;
        }
    }

    void handle(World& world, const Event& event)
    {
        auto slot = static_cast<uint32_t>(event.subject);
        switch (event.kind) {
        case EventKind::NextArrival:
            return pullArrival(world);
        case EventKind::RequestArrives:
            return requestArrives(world, slot);
        case EventKind::ExecutionArrives:
            return executionArrives(world, slot);
        case EventKind::ForwardArrives:
            return forwardArrives(world, slot);
        case EventKind::ForwardReplyArrives:
            return forwardReplyArrives(world, slot);
        case EventKind::Scripted: {
            auto script = std::move(world.scripts[slot]);
            return script(world);
        }
        case EventKind::PlatformAnswers:
        case EventKind::PlatformWaitEnds:
            if (world.platform.slots[slot].generation != event.check)
                return;
            return event.kind == EventKind::PlatformAnswers ? platformAnswers(world, slot)
                                                            : platformWaitEnds(world, slot);
        case EventKind::PeerMessageArrives:
            return peerMessageArrives(world, event.host, slot);
        case EventKind::Timer:
        case EventKind::Tick:
            break;
        default:
            if (world.calls[slot].generation != event.check)
                return;
        }
        auto& host = world.hosts[event.host];
        switch (event.kind) {
        case EventKind::CallArrives:
            return callArrives(world, slot);
        case EventKind::ServiceEnds:
            return serviceEnds(world, slot);
        case EventKind::CallDeadline:
            return callDeadline(world, slot);
        case EventKind::ResultArrives:
            return resultArrives(world, slot);
        case EventKind::CancelArrives:
            return cancelArrives(world, slot);
        default:
            if (!host.engine || host.incarnation != event.check)
                return;
        }
        if (event.kind == EventKind::Timer)
            perform(world, host, host.engine->timerExpired(event.subject, world.now));
        else
            tickHost(world, host);
    }

}

membership::HostIdentity identityOf(const World& world, const Host& host)
{
    membership::HostIdentity identity { host.name, host.callerAddress, host.peerAddress, world.domains[host.domain],
        "region", host.incarnation, {} };
    for (const auto& it : world.hosts) {
        if (it.index != host.index && identity.seeds.size() < seedCount)
            identity.seeds.push_back(it.peerAddress);
    }
    return identity;
}

void tickHost(World& world, Host& host)
{
    perform(world, host, host.engine->tick(world.now));
    schedule(world, world.now + world.tickPeriod, EventKind::Tick, host.index, 0, host.incarnation);
}

void schedule(World& world, TimePoint time, EventKind kind, uint32_t host, uint64_t subject, uint64_t check)
{
    world.events.push({ std::max(time, world.now), ++world.lastOrder, subject, check, host, kind });
}

Duration delayBetween(const World& world, uint32_t first, uint32_t second)
{
    return first == second ? world.localDelay : world.remoteDelay;
}

bool isCut(const World& world, uint32_t first, uint32_t second)
{
    return !world.cutDomains.empty() && world.cutDomains.contains(std::minmax(first, second));
}

bool isUpstreamReachable(const World& world, const Host& host, const Upstream& upstream)
{
    return !isCut(world, host.domain, upstream.domain);
}

uint32_t domainIndex(World& world, std::string_view name)
{
    auto it = std::ranges::find(world.domains, name);
    if (it == world.domains.end())
        it = world.domains.insert(it, std::string(name));
    return static_cast<uint32_t>(it - world.domains.begin());
}

uint32_t upstreamIndex(const World& world, std::string_view name)
{
    auto it = std::ranges::find(world.upstreams, name, &Upstream::name);
    if (it == world.upstreams.end())
        throw std::out_of_range("no upstream " + std::string(name));
    return static_cast<uint32_t>(it - world.upstreams.begin());
}

uint32_t addHost(World& world, std::string name, std::string_view domain)
{
    auto index = static_cast<uint32_t>(world.hosts.size());
    auto& host = world.hosts.emplace_back();
    host.name = std::move(name);
    host.index = index;
    host.domain = domainIndex(world, domain);
    auto address = "10.255." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    host.callerAddress = address + ":8080";
    host.peerAddress = address + ":9090";
    world.hostsByPeerAddress.emplace(host.peerAddress, index);
    return index;
}

void startHost(World& world, uint32_t n)
{
    auto& host = world.hosts[n];
    if (host.engine)
        return;
    ++host.incarnation;
    host.isPaused = false;
    host.engine = world.makeEngine
        ? world.makeEngine(world, host)
        : std::make_unique<engine::Engine>(world.seed * 1'000'003 + n, identityOf(world, host));
    listHost(world, n, true);
    tickHost(world, host);
}

void killHost(World& world, uint32_t n)
{
    auto& host = world.hosts[n];
    if (!host.engine)
        return;
    dropCallsOf(world, host);
    dropForwardsOf(world, host);
    std::vector<uint32_t> open;
    for (auto [id, request] : host.requests) {
        if (world.requests[request].host == n && world.requests[request].outcome == RequestOutcome::Open)
            open.push_back(request);
    }
    std::ranges::sort(open);
    host.requests.clear();
    // Connections that wait in the paused process end with it, so their events find no process.
    host.isPaused = false;
    auto held = std::exchange(host.held, {});
    host.engine.reset();
    listHost(world, n, false);
    for (const auto& event : held)
        schedule(world, world.now, event.kind, event.host, event.subject, event.check);
    for (auto it : open) {
        auto& request = world.requests[it];
        request.outcome = RequestOutcome::Reset;
        request.finishedAt = world.now;
        if (world.recorder.reset)
            world.recorder.reset(world, request);
    }
}

void pauseHost(World& world, uint32_t n) { world.hosts[n].isPaused = world.hosts[n].engine != nullptr; }

void resumeHost(World& world, uint32_t n)
{
    auto& host = world.hosts[n];
    host.isPaused = false;
    auto held = std::exchange(host.held, {});
    for (const auto& event : held)
        schedule(world, world.now, event.kind, event.host, event.subject, event.check);
}

void cutDomains(World& world, std::string_view first, std::string_view second)
{
    world.cutDomains.insert(std::minmax(domainIndex(world, first), domainIndex(world, second)));
}

void healDomains(World& world) { world.cutDomains.clear(); }

void submit(World& world, Request request)
{
    request.number = static_cast<uint32_t>(world.requests.size());
    auto arrival = request.sentAt + request.callerDelay.value_or(world.callerDelay);
    auto host = request.host;
    world.requests.push_back(std::move(request));
    schedule(world, arrival, EventKind::RequestArrives, host, world.requests.size() - 1, 0);
}

void at(World& world, TimePoint time, std::function<void(World&)> script)
{
    world.scripts.push_back(std::move(script));
    schedule(world, time, EventKind::Scripted, 0, world.scripts.size() - 1, 0);
}

void run(World& world, TimePoint until)
{
    if (world.arrivals && !world.nextArrival)
        pullArrival(world);
    while (!world.events.empty() && world.events.top().at <= until) {
        auto event = world.events.top();
        world.events.pop();
        world.now = event.at;
        ++world.eventsHandled;
        if (isHostEvent(event.kind) && world.hosts[event.host].isPaused)
            world.hosts[event.host].held.push_back(event);
        else
            handle(world, event);
    }
    world.now = std::max(world.now, until);
}

}
