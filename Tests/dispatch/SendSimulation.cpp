#include "dispatch/SendSimulation.h"

#include <algorithm>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr size_t upstreamCount = 6;
constexpr size_t domainCount = 3;
constexpr uint32_t connectionsPerLink = 1;
constexpr auto networkDelay = 1ms;
constexpr auto objective = 200ms;
constexpr auto hedgeDelay = 60ms;
constexpr auto timeLimit = 6s;
constexpr auto drainTime = 3s;
constexpr auto evacuationTime = 5s;
constexpr double requestsPerSecond = 30; // of all hosts; some upstreams have queues at all times
constexpr double lostShare = 0.4;
constexpr RetryBudgetSettings budgetSettings { 0.2, 50, 10s };

}

SendSimulation::SendSimulation(size_t hostCount, uint64_t seed, Trouble trouble)
    : m_random(seed)
    , m_trouble(trouble)
    , m_hosts(hostCount)
    , m_upstreams(upstreamCount)
    , m_domains(domainCount)
{
    for (size_t n = 0; n < upstreamCount; ++n)
        startProcess(n);
    for (size_t host = 0; host < hostCount; ++host) {
        m_hosts[host].gate.limitShare = 1 / static_cast<double>(hostCount);
        m_hosts[host].known.resize(upstreamCount);
        m_hosts[host].links.resize(upstreamCount);
        learn(host);
    }
}

void SendSimulation::at(base::Duration delay, std::function<void()> event)
{
    m_events.emplace(now + delay, std::move(event));
}

void SendSimulation::atHost(size_t host, base::Duration delay, std::function<void()> event)
{
    at(delay, [this, host, event = std::move(event)] {
        if (m_hosts[host].frozenUntil > now)
            atHost(host, m_hosts[host].frozenUntil - now, event);
        else
            event();
    });
}

void SendSimulation::check(bool holds, const char* rule)
{
    if (!holds)
        ++broken[rule];
}

base::Duration SendSimulation::uniformTime(double minSeconds, double maxSeconds)
{
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(minSeconds + (maxSeconds - minSeconds) * base::uniform(m_random)));
}

bool SendSimulation::happens(double perSecond) { return base::uniform(m_random) < perSecond / 100; }

void SendSimulation::startProcess(size_t n)
{
    auto revision = m_upstreams[n].entry.revision + 1;
    m_upstreams[n] = {};
    auto& entry = m_upstreams[n].entry;
    entry.revision = revision;
    entry.record.id = "u" + std::to_string(n);
    entry.record.failureDomain = "d" + std::to_string(n % domainCount);
    entry.record.startedAt = ++m_processes;
    entry.changedAt = now;
}

void SendSimulation::disturb()
{
    for (size_t n = 0; n < upstreamCount; ++n) {
        auto& upstream = m_upstreams[n];
        auto isRunning = !upstream.entry.record.isDraining && upstream.endedAt == base::TimePoint {};
        if (isRunning && happens(m_trouble.drains))
            drain(n);
        else if (isRunning && happens(m_trouble.ends))
            endProcess(n);
        if (happens(m_trouble.leaves))
            upstream.isLeaving = true;
        if (happens(m_trouble.slowDowns))
            upstream.slowUntil = now + uniformTime(0.5, 8);
        if (happens(m_trouble.lossTimes))
            upstream.losesUntil = now + uniformTime(0.5, 4);
        if (happens(m_trouble.limits))
            upstream.limit = upstream.limit ? std::nullopt : std::optional(5 + 40 * base::uniform(m_random));
    }
    for (size_t n = 0; n < domainCount; ++n) {
        if (happens(m_domains[n].isEvacuated ? 0.15 : m_trouble.evacuations))
            evacuate(n);
    }
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        if (m_hosts[n].frozenUntil <= now && happens(m_trouble.freezes))
            freeze(n);
        if (m_hosts[n].cutUntil <= now && happens(m_trouble.cuts)) {
            auto time = uniformTime(0.5, 10);
            m_hosts[n].cutUntil = now + time;
            atHost(n, time + uniformTime(0.1, 1), [this, n] { learn(n); });
        }
    }
    if (m_toBegin > 0 || m_open > 0)
        at(10ms, [this] { disturb(); });
}

void SendSimulation::drain(size_t n)
{
    m_upstreams[n].entry.record.isDraining = true;
    ++m_upstreams[n].entry.revision;
    m_upstreams[n].drainsSince = now;
    publish();
    // It ends some seconds later, and a successor starts under its name.
    at(uniformTime(3.5, 8), [this, n] {
        startProcess(n);
        publish();
    });
}

void SendSimulation::endProcess(size_t n)
{
    m_upstreams[n].endedAt = now;
    m_upstreams[n].entry.presence = discovery::Presence::Missing;
    ++m_upstreams[n].entry.revision;
    publish();
    at(uniformTime(0.5, 8), [this, n] {
        startProcess(n);
        publish();
    });
}

void SendSimulation::evacuate(size_t domain)
{
    m_domains[domain] = { !m_domains[domain].isEvacuated, now };
    publish();
}

void SendSimulation::freeze(size_t host)
{
    auto time = uniformTime(1, 6);
    m_hosts[host].frozenUntil = now + time;
    at(time, [this, host] {
        m_hosts[host].isStale = true;
        m_hosts[host].resumedAt = now;
    });
    atHost(host, time + uniformTime(0.02, 0.3), [this, host] { learn(host); });
}

void SendSimulation::publish()
{
    for (size_t host = 0; host < m_hosts.size(); ++host)
        atHost(host, uniformTime(0.05, 1.9), [this, host] { learn(host); });
}

void SendSimulation::learn(size_t n)
{
    auto& host = m_hosts[n];
    if (host.cutUntil > now)
        return;
    host.isStale = false;
    for (size_t u = 0; u < upstreamCount; ++u) {
        if (host.known[u].revision == m_upstreams[u].entry.revision)
            continue;
        host.known[u] = m_upstreams[u].entry;
        host.known[u].changedAt = now;
        if (host.known[u].presence == discovery::Presence::Listed)
            continue;
        atHost(n, discovery::UpstreamDirectory::missingTime, [this, n, u, revision = host.known[u].revision] {
            if (m_hosts[n].known[u].revision == revision)
                m_hosts[n].known[u].presence = discovery::Presence::Gone;
            endWaitingForClosed(n);
        });
    }
    for (size_t d = 0; d < domainCount; ++d) {
        auto name = "d" + std::to_string(d);
        if (m_domains[d].isEvacuated)
            host.evacuations.begin(name);
        else
            host.evacuations.end(name, now);
    }
    endWaitingForClosed(n);
}

GateQuery SendSimulation::queryOf(const Host& host, const Request& request, bool isHedge) const
{
    auto hasListed = std::ranges::any_of(host.known, [](const auto& it) { return isListed(it); });
    return { .hasListed = hasListed,
        .isHedge = isHedge,
        .returnDraw = request.returnDraw,
        .evacuations = &host.evacuations,
        .resumedAt = host.resumedAt,
        .now = now };
}

void SendSimulation::begin()
{
    if (m_toBegin == 0)
        return;
    --m_toBegin;
    at(uniformTime(0, 2 / requestsPerSecond), [this] { begin(); });
    auto request = std::make_shared<Request>();
    request->host = base::uniformIndex(m_random, m_hosts.size());
    request->policy = { base::uniform(m_random) < 0.8, 2, hedgeDelay };
    request->deadline = now + timeLimit;
    request->returnDraw = base::uniform(m_random);
    auto& host = m_hosts[request->host];
    if (host.frozenUntil > now || host.isStale) {
        ++refused;
        return;
    }
    ++m_open;
    host.budget.addRequest("service", budgetSettings, now);
    host.evacuations.expire(now);
    if (!tryAttempt(request, false)) {
        request->isRefused = true;
        return settle(request);
    }
    atHost(request->host, objective, [this, request] {
        if (!request->isSettled && isRefusalDue(request->history, now, now)) {
            request->isRefused = true;
            settle(request);
        }
    });
    atHost(request->host, timeLimit, [this, request] { settle(request); });
}

bool SendSimulation::tryAttempt(const RequestPointer& request, bool isHedge)
{
    auto& host = m_hosts[request->host];
    if (host.isStale)
        return false;
    auto query = queryOf(host, *request, isHedge);
    std::vector<Candidate> candidates;
    std::vector<size_t> returning;
    bool hasOpen = false;
    for (size_t n = 0; n < upstreamCount; ++n) {
        auto& link = host.links[n];
        link.load.waiting = static_cast<uint32_t>(link.queue.size());
        link.load.idleConnections = link.busy < connectionsPerLink ? 1 : 0;
        link.load.openConnections = connectionsPerLink;
        auto reason = reasonAgainst(host.gate, { host.known[n], {}, link.load.waiting }, query);
        auto isTried = std::ranges::find(request->tried, n) != request->tried.end();
        hasOpen = hasOpen || (reason == GateReason::None && !isTried);
        if (reason == GateReason::Returning)
            returning.push_back(n);
        candidates.push_back({ &host.known[n], &link.load, isTried, false, reason != GateReason::None });
    }
    for (auto n : hasOpen ? std::vector<size_t>() : returning)
        candidates[n].isHeldBack = false;
    auto choice = chooseUpstream(candidates, { 20ms, hedgeDelay, now });
    auto share = 1 / static_cast<double>(m_hosts.size());
    if (!choice || (needsBudget(request->history) && host.budget.remaining("service", budgetSettings, share, now) < 1))
        return false;
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    attempt->upstream = *choice;
    attempt->isHedge = isHedge;
    request->tried.push_back(*choice);
    request->attempts.push_back(attempt);
    attemptQueued(request->history);
    host.links[*choice].queue.push_back(attempt);
    serve(request->host, *choice);
    return true;
}

const char* SendSimulation::reasonNotToSend(const Attempt& attempt)
{
    const auto& request = *attempt.request;
    auto& host = m_hosts[request.host];
    auto gate = reasonAgainst(host.gate, { host.known[attempt.upstream] }, queryOf(host, request, attempt.isHedge));
    if (gate == GateReason::Returning)
        gate = GateReason::None;
    auto share = 1 / static_cast<double>(m_hosts.size());
    SendInputs inputs { gate, request.isSettled, host.isStale, false, request.policy, request.history, std::nullopt,
        request.deadline, now };
    if (needsBudget(request.history))
        inputs.budgetLeft = host.budget.remaining("service", budgetSettings, share, now);
    auto reason = dispatch::reasonNotToSend(inputs);
    if (reason != SendReason::None)
        return toString(reason, gate);
    if (inputs.budgetLeft)
        host.budget.tryTake("service", budgetSettings, share, now);
    host.gate.limits.take(keyOf(host.known[attempt.upstream].record), host.gate.limitShare, now);
    return nullptr;
}

void SendSimulation::serve(size_t host, size_t upstream)
{
    auto& link = m_hosts[host].links[upstream];
    while (link.busy < connectionsPerLink && !link.queue.empty()) {
        auto attempt = link.queue.front();
        link.queue.pop_front();
        if (attempt->isEnded)
            continue;
        const auto* reason = checksAtSend ? reasonNotToSend(*attempt) : nullptr;
        if (!reason) {
            send(attempt);
            continue;
        }
        ++withheld[reason];
        end(attempt, true, false);
    }
}

void SendSimulation::send(const AttemptPointer& attempt)
{
    auto& request = attempt->request;
    attempt->wasSent = true;
    attemptSent(request->history, now);
    ++m_hosts[request->host].links[attempt->upstream].busy;
    at(networkDelay, [this, attempt] { arrive(attempt); });
    atHost(request->host, hedgeDelay, [this, request] {
        if (!request->isSettled && isHedgeDue(request->policy, request->history, now))
            tryAttempt(request, true);
    });
}

void SendSimulation::checkArrival(const Attempt& attempt)
{
    const auto& upstream = m_upstreams[attempt.upstream];
    const auto& host = m_hosts[attempt.request->host];
    const auto& link = host.links[attempt.upstream];
    // A host that was cut off has the allowed time from its return on.
    auto late = [&](base::TimePoint since, base::Duration allowed) {
        return since != base::TimePoint {} && now - networkDelay > std::max(since, host.cutUntil) + allowed;
    };
    check(!late(upstream.drainsSince, drainTime), "request to a draining upstream");
    // One that is missing may be tried for missingTime while no other is listed, from when the host learns of it; a
    // host that was frozen learns late.
    auto endedAt = upstream.endedAt;
    if (endedAt != base::TimePoint {})
        endedAt = std::max(endedAt, host.frozenUntil);
    check(!late(endedAt, drainTime + discovery::UpstreamDirectory::missingTime), "request to an ended upstream");
    auto hasLeft = link.leavingProcess == upstream.entry.record.startedAt;
    check(!hasLeft || !late(link.leavingHeardAt, drainTime), "request to a leaving upstream");
    const auto& domain = m_domains[upstream.entry.record.failureDomain.back() - '0'];
    check(!domain.isEvacuated || !late(domain.since, evacuationTime), "request to an evacuated upstream");
}

void SendSimulation::arrive(const AttemptPointer& attempt)
{
    auto& request = *attempt->request;
    auto& upstream = m_upstreams[attempt->upstream];
    checkArrival(*attempt);
    auto record = upstream.entry.record;
    auto isLeaving = upstream.isLeaving;
    auto limit = upstream.limit;
    auto hasEnded = upstream.endedAt != base::TimePoint {};
    auto hasNotRun = !hasEnded && base::uniform(m_random) < 0.05;
    auto isLost = hasEnded || (!hasNotRun && upstream.losesUntil > now && base::uniform(m_random) < lostShare);
    auto work = uniformTime(0.03, 0.32) * (upstream.slowUntil > now ? 12 : 1);
    if (hasNotRun || hasEnded) {
        work = base::Duration(0);
    } else {
        ++request.runs;
        request.ranOn.insert(record.id + ' ' + std::to_string(*record.startedAt));
    }
    check(request.ranOn.size() <= request.policy.maxAttempts, "request ran on more upstreams than allowed");
    check(request.policy.isIdempotent || request.runs <= 1, "request that may not be repeated ran twice");
    check(!request.isRefused || hasNotRun || hasEnded, "refused request ran");
    atHost(request.host, work + networkDelay, [=, this] {
        auto& host = m_hosts[attempt->request->host];
        auto& from = host.links[attempt->upstream];
        --from.busy;
        if (!isLost && host.cutUntil <= now) {
            host.gate.limits.observe(keyOf(record), limit, now);
            if (isLeaving && host.gate.holds.addLeaving(keyOf(record), now)) {
                from.leavingHeardAt = now;
                from.leavingProcess = record.startedAt;
                endWaitingForClosed(attempt->request->host);
            }
        }
        end(attempt, hasNotRun, !isLost && !hasNotRun);
        serve(attempt->request->host, attempt->upstream);
    });
}

void SendSimulation::end(const AttemptPointer& attempt, bool hasNotRun, bool isSuccess)
{
    if (attempt->isEnded)
        return;
    attempt->isEnded = true;
    auto request = attempt->request;
    std::erase(request->attempts, attempt);
    attemptEnded(request->history, attempt->wasSent, hasNotRun);
    if (request->isSettled)
        return;
    if (isSuccess) {
        ++served;
        request->isServed = true;
        return settle(request);
    }
    if (mayRetry(request->policy, request->history) && now < request->deadline && tryAttempt(request, false))
        return;
    if (request->history.inFlight > 0)
        return;
    request->isRefused = !mayHaveRun(request->history);
    settle(request);
}

void SendSimulation::endWaitingForClosed(size_t n)
{
    if (!checksAtSend)
        return;
    auto& host = m_hosts[n];
    for (size_t u = 0; u < upstreamCount; ++u) {
        auto reason = reasonAgainst(host.gate, { host.known[u] }, queryOf(host, {}, false));
        if (!isLasting(reason))
            continue;
        auto queue = std::move(host.links[u].queue);
        host.links[u].queue.clear();
        for (const auto& attempt : queue) {
            ++withheld[toString(reason)];
            end(attempt, true, false);
        }
    }
}

void SendSimulation::settle(const RequestPointer& request)
{
    if (request->isSettled)
        return;
    request->isSettled = true;
    --m_open;
    if (request->isRefused)
        ++refused;
    else if (!request->isServed)
        ++lost;
    check(!request->isRefused || request->ranOn.empty(), "refused request has run");
    auto attempts = request->attempts;
    for (const auto& attempt : attempts) {
        if (!attempt->wasSent)
            end(attempt, true, false);
    }
}

void SendSimulation::run(size_t count)
{
    m_toBegin = count;
    disturb();
    begin();
    while (!m_events.empty() && (m_toBegin > 0 || m_open > 0)) {
        auto event = m_events.extract(m_events.begin());
        now = event.key();
        event.mapped()();
    }
}
