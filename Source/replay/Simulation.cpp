#include "replay/Simulation.h"

#include "replay/Internal.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace papayabend::replay {

namespace {

    constexpr size_t seedCount = 3;

    void requestArrives(Simulation& simulation, uint32_t n)
    {
        auto& request = simulation.requests[n];
        auto& host = simulation.hosts[request.host];
        if (!host.engine) {
            request.outcome = RequestOutcome::Reset;
            request.finishedAt = simulation.now;
            if (simulation.recorder.reset)
                simulation.recorder.reset(simulation, request);
            return;
        }
        request.receivedAt = simulation.now;
        if (request.kind != RequestKind::Search)
            return executionRequested(simulation, host, request);
        request.id = host.engine->nextRequest();
        request.hostIncarnation = host.incarnation;
        host.requests.emplace(request.id, n);
        query::SearchRequest search;
        search.id = request.id;
        search.account = request.account;
        search.service = request.service;
        search.query = request.body;
        search.maxHits = request.maxHits;
        search.received = simulation.now;
        search.deadline = simulation.now + request.timeout;
        perform(simulation, host, host.engine->submitSearch(std::move(search), simulation.now));
    }

    void pullArrival(Simulation& simulation)
    {
        if (simulation.nextArrival)
            submit(simulation, std::move(*simulation.nextArrival));
        simulation.nextArrival = simulation.arrivals();
        if (simulation.nextArrival)
            schedule(simulation, simulation.nextArrival->sentAt, EventKind::NextArrival, 0, 0, 0);
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

    void handle(Simulation& simulation, const Event& event)
    {
        auto slot = static_cast<uint32_t>(event.subject);
        switch (event.kind) {
        case EventKind::NextArrival:
            return pullArrival(simulation);
        case EventKind::RequestArrives:
            return requestArrives(simulation, slot);
        case EventKind::ExecutionArrives:
            return executionArrives(simulation, slot);
        case EventKind::ForwardArrives:
            return forwardArrives(simulation, slot);
        case EventKind::ForwardReplyArrives:
            return forwardReplyArrives(simulation, slot);
        case EventKind::Scripted: {
            auto script = std::move(simulation.scripts[slot]);
            return script(simulation);
        }
        case EventKind::PlatformAnswers:
        case EventKind::PlatformWaitEnds:
            if (simulation.platform.slots[slot].generation != event.check)
                return;
            return event.kind == EventKind::PlatformAnswers ? platformAnswers(simulation, slot)
                                                            : platformWaitEnds(simulation, slot);
        case EventKind::PeerMessageArrives:
            return peerMessageArrives(simulation, event.host, slot);
        case EventKind::Timer:
        case EventKind::Tick:
            break;
        default:
            if (simulation.calls[slot].generation != event.check)
                return;
        }
        auto& host = simulation.hosts[event.host];
        switch (event.kind) {
        case EventKind::CallArrives:
            return callArrives(simulation, slot);
        case EventKind::ServiceEnds:
            return serviceEnds(simulation, slot);
        case EventKind::CallDeadline:
            return callDeadline(simulation, slot);
        case EventKind::ResultArrives:
            return resultArrives(simulation, slot);
        case EventKind::CancelArrives:
            return cancelArrives(simulation, slot);
        default:
            if (!host.engine || host.incarnation != event.check)
                return;
        }
        if (event.kind == EventKind::Timer)
            perform(simulation, host, host.engine->timerExpired(event.subject, simulation.now));
        else
            tickHost(simulation, host);
    }

}

membership::HostIdentity identityOf(const Simulation& simulation, const Host& host)
{
    membership::HostIdentity identity { host.name, host.callerAddress, host.peerAddress,
        simulation.domains[host.domain], "region", host.incarnation, {} };
    for (const auto& it : simulation.hosts) {
        if (it.index != host.index && identity.seeds.size() < seedCount)
            identity.seeds.push_back(it.peerAddress);
    }
    return identity;
}

void tickHost(Simulation& simulation, Host& host)
{
    perform(simulation, host, host.engine->tick(simulation.now));
    schedule(simulation, simulation.now + simulation.tickPeriod, EventKind::Tick, host.index, 0, host.incarnation);
}

void schedule(Simulation& simulation, TimePoint time, EventKind kind, uint32_t host, uint64_t subject, uint64_t check)
{
    simulation.events.push({ std::max(time, simulation.now), ++simulation.lastOrder, subject, check, host, kind });
}

Duration delayBetween(const Simulation& simulation, uint32_t first, uint32_t second)
{
    return first == second ? simulation.localDelay : simulation.remoteDelay;
}

bool isCut(const Simulation& simulation, uint32_t first, uint32_t second)
{
    return !simulation.cutDomains.empty() && simulation.cutDomains.contains(std::minmax(first, second));
}

bool isUpstreamReachable(const Simulation& simulation, const Host& host, const Upstream& upstream)
{
    return !isCut(simulation, host.domain, upstream.domain);
}

uint32_t domainIndex(Simulation& simulation, std::string_view name)
{
    auto it = std::ranges::find(simulation.domains, name);
    if (it == simulation.domains.end())
        it = simulation.domains.insert(it, std::string(name));
    return static_cast<uint32_t>(it - simulation.domains.begin());
}

uint32_t upstreamIndex(const Simulation& simulation, std::string_view name)
{
    auto it = std::ranges::find(simulation.upstreams, name, &Upstream::name);
    if (it == simulation.upstreams.end())
        throw std::out_of_range("no upstream " + std::string(name));
    return static_cast<uint32_t>(it - simulation.upstreams.begin());
}

uint32_t addHost(Simulation& simulation, std::string name, std::string_view domain)
{
    auto index = static_cast<uint32_t>(simulation.hosts.size());
    auto& host = simulation.hosts.emplace_back();
    host.name = std::move(name);
    host.index = index;
    host.domain = domainIndex(simulation, domain);
    auto address = "10.255." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    host.callerAddress = address + ":8080";
    host.peerAddress = address + ":9090";
    simulation.hostsByPeerAddress.emplace(host.peerAddress, index);
    return index;
}

void startHost(Simulation& simulation, uint32_t n)
{
    auto& host = simulation.hosts[n];
    if (host.engine)
        return;
    ++host.incarnation;
    host.isPaused = false;
    host.engine = simulation.makeEngine
        ? simulation.makeEngine(simulation, host)
        : std::make_unique<engine::Engine>(simulation.seed * 1'000'003 + n, identityOf(simulation, host));
    listHost(simulation, n, true);
    tickHost(simulation, host);
}

void killHost(Simulation& simulation, uint32_t n)
{
    auto& host = simulation.hosts[n];
    if (!host.engine)
        return;
    dropCallsOf(simulation, host);
    dropForwardsOf(simulation, host);
    std::vector<uint32_t> open;
    for (auto [id, request] : host.requests) {
        if (simulation.requests[request].host == n && simulation.requests[request].outcome == RequestOutcome::Open)
            open.push_back(request);
    }
    std::ranges::sort(open);
    host.requests.clear();
    // Connections that wait in the paused process end with it, so their events find no process.
    host.isPaused = false;
    auto held = std::exchange(host.held, {});
    host.engine.reset();
    listHost(simulation, n, false);
    for (const auto& event : held)
        schedule(simulation, simulation.now, event.kind, event.host, event.subject, event.check);
    for (auto it : open) {
        auto& request = simulation.requests[it];
        request.outcome = RequestOutcome::Reset;
        request.finishedAt = simulation.now;
        if (simulation.recorder.reset)
            simulation.recorder.reset(simulation, request);
    }
}

void pauseHost(Simulation& simulation, uint32_t n)
{
    simulation.hosts[n].isPaused = simulation.hosts[n].engine != nullptr;
}

void resumeHost(Simulation& simulation, uint32_t n)
{
    auto& host = simulation.hosts[n];
    host.isPaused = false;
    auto held = std::exchange(host.held, {});
    for (const auto& event : held)
        schedule(simulation, simulation.now, event.kind, event.host, event.subject, event.check);
}

void cutDomains(Simulation& simulation, std::string_view first, std::string_view second)
{
    simulation.cutDomains.insert(std::minmax(domainIndex(simulation, first), domainIndex(simulation, second)));
}

void healDomains(Simulation& simulation) { simulation.cutDomains.clear(); }

void submit(Simulation& simulation, Request request)
{
    request.number = static_cast<uint32_t>(simulation.requests.size());
    auto arrival = request.sentAt + request.callerDelay.value_or(simulation.callerDelay);
    auto host = request.host;
    simulation.requests.push_back(std::move(request));
    schedule(simulation, arrival, EventKind::RequestArrives, host, simulation.requests.size() - 1, 0);
}

void at(Simulation& simulation, TimePoint time, std::function<void(Simulation&)> script)
{
    simulation.scripts.push_back(std::move(script));
    schedule(simulation, time, EventKind::Scripted, 0, simulation.scripts.size() - 1, 0);
}

void run(Simulation& simulation, TimePoint until)
{
    if (simulation.arrivals && !simulation.nextArrival)
        pullArrival(simulation);
    while (!simulation.events.empty() && simulation.events.top().at <= until) {
        auto event = simulation.events.top();
        simulation.events.pop();
        simulation.now = event.at;
        ++simulation.eventsHandled;
        if (isHostEvent(event.kind) && simulation.hosts[event.host].isPaused)
            simulation.hosts[event.host].held.push_back(event);
        else
            handle(simulation, event);
    }
    simulation.now = std::max(simulation.now, until);
}

}
