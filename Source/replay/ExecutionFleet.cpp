#include "replay/ExecutionFleet.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayabend::replay {

using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;
using routing::AttemptStatus;

namespace {

    constexpr auto tickInterval = 100ms;
    constexpr uint32_t slots = 6;

    std::string addressOf(const std::string& name) { return name + ":2"; }

}

ExecutionFleet::ExecutionFleet(const FleetOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_hosts(options.hosts)
    , m_upstreams(options.upstreams)
{
    nlohmann::json catalog { { "version", 1 } };
    nlohmann::json pool = nlohmann::json::array();
    for (uint32_t n = 0; n < options.upstreams; ++n) {
        auto name = "u" + std::to_string(n);
        catalog["upstreams"].push_back({ { "name", name }, { "address", name }, { "failureDomain", "d" },
            { "slots", slots }, { "connectionLimit", 110 } });
        pool.push_back(name);
    }
    catalog["services"].push_back({ { "name", "faturas" }, { "pool", pool } });
    m_catalogText = catalog.dump();
    m_tableText = "version,1\naccount,faturas\nmuscat,weight=2\nsul,weight=1 priority=bulk\n";
    nlohmann::json list { { "version", 1 } };
    for (uint32_t n = 0; n < options.hosts; ++n) {
        m_hosts[n].name = "h" + std::to_string(n);
        const auto& name = m_hosts[n].name;
        list["hosts"].push_back(
            { { "name", name }, { "callerAddress", name + ":1" }, { "peerAddress", addressOf(name) },
                { "failureDomain", n % 2 == 0 ? "a" : "b" }, { "region", "r" }, { "state", "live" } });
    }
    m_listText = list.dump();
    m_requests.reserve(options.requests);
}

void ExecutionFleet::at(TimePoint time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), ++m_order, std::move(action) });
}

void ExecutionFleet::onHost(uint32_t n, uint64_t incarnation, std::function<void()> action)
{
    auto& host = m_hosts[n];
    if (!host.engine || host.incarnation != incarnation)
        return;
    if (host.isPaused)
        host.held.push_back([this, n, incarnation, action = std::move(action)] { onHost(n, incarnation, action); });
    else
        action();
}

void ExecutionFleet::atHost(uint32_t n, TimePoint time, std::function<void()> action)
{
    at(time, [this, n, incarnation = m_hosts[n].incarnation, action = std::move(action)] {
        onHost(n, incarnation, action);
    });
}

Duration ExecutionFleet::delay() { return Duration(200 + static_cast<int64_t>(m_random() % 5000)); }

bool ExecutionFleet::canReach(uint32_t from, uint32_t to) const
{
    return !m_isPartitioned || m_side.contains(from) == m_side.contains(to);
}

uint32_t ExecutionFleet::randomHost() { return static_cast<uint32_t>(base::uniformIndex(m_random, m_hosts.size())); }

void ExecutionFleet::startHost(uint32_t n)
{
    auto& host = m_hosts[n];
    ++host.incarnation;
    host.isPaused = false;
    host.held.clear();
    membership::HostIdentity identity { host.name, host.name + ":1", addressOf(host.name), n % 2 == 0 ? "a" : "b", "r",
        host.incarnation, { addressOf(m_hosts[(n + 1) % m_hosts.size()].name) } };
    host.engine = std::make_unique<engine::Engine>(m_random(), identity);
    tick(n, host.incarnation);
}

void ExecutionFleet::endHost(uint32_t n, bool isPlanned)
{
    auto& host = m_hosts[n];
    host.engine.reset();
    host.held.clear();
    auto open = std::exchange(host.open, {});
    if (isPlanned)
        m_result.cutByStop += open.size();
    for (auto& [id, handler] : open) {
        ++m_result.resets;
        handler(engine::StateChange {});
    }
}

void ExecutionFleet::tick(uint32_t n, uint64_t incarnation)
{
    onHost(n, incarnation, [this, n] {
        perform(n, m_hosts[n].engine->tick(m_now));
        if (m_hosts[n].engine->stage() != membership::Lifecycle::Stopped) {
            at(m_now + tickInterval, [this, n, again = m_hosts[n].incarnation] { tick(n, again); });
            return;
        }
        endHost(n, true);
        at(m_now + 500ms, [this, n] {
            startHost(n);
            rollNext(n + 1);
        });
    });
}

void ExecutionFleet::perform(uint32_t n, engine::Actions actions)
{
    auto reply = [&](routing::RequestId id, const engine::Action& action) {
        auto it = m_hosts[n].open.find(id);
        if (it == m_hosts[n].open.end()) {
            ++m_result.violations;
            m_result.violationTexts.push_back("second reply to request " + std::to_string(id));
            return;
        }
        auto handler = std::move(it->second);
        m_hosts[n].open.erase(it);
        handler(action);
    };
    for (auto& action : actions) {
        if (auto* attempt = std::get_if<engine::SendAttempt>(&action))
            send(n, *attempt);
        else if (auto* answer = std::get_if<engine::ReplyExecution>(&action))
            reply(answer->request, action);
        else if (auto* outcome = std::get_if<engine::ReplyOutcome>(&action))
            reply(outcome->request, action);
        else if (auto* refusal = std::get_if<engine::ReplyRefusal>(&action))
            reply(refusal->request, action);
        else if (auto* forwarded = std::get_if<engine::ForwardExecution>(&action))
            forward(n, *forwarded);
        else if (auto* timer = std::get_if<engine::SetTimer>(&action))
            atHost(n, timer->at,
                [this, n, id = timer->request] { perform(n, m_hosts[n].engine->timerExpired(id, m_now)); });
        else if (auto* message = std::get_if<engine::SendPeerMessage>(&action))
            deliver(n, *message);
        else if (auto* platform = std::get_if<engine::ReadPlatform>(&action))
            read(n, *platform);
    }
}

void ExecutionFleet::deliver(uint32_t from, const engine::SendPeerMessage& send)
{
    auto it = std::ranges::find_if(m_hosts, [&](const Host& host) { return addressOf(host.name) == send.peerAddress; });
    if (it == m_hosts.end())
        return;
    auto to = static_cast<uint32_t>(it - m_hosts.begin());
    at(m_now + delay(), [this, from, to, message = std::make_shared<engine::PeerMessage>(send.message)] {
        if (canReach(from, to))
            onHost(to, m_hosts[to].incarnation,
                [this, to, message] { perform(to, m_hosts[to].engine->peerMessage(*message, m_now)); });
    });
}

void ExecutionFleet::read(uint32_t n, const engine::ReadPlatform& read)
{
    bool isNew = read.afterVersion < 1;
    atHost(n, m_now + (isNew ? Duration(2ms) : std::max<Duration>(read.wait, 100ms)), [this, n, isNew, key = read.key] {
        auto& engine = *m_hosts[n].engine;
        if (isNew && key == "hosts")
            perform(n, engine.hostListPublished(m_listText, m_now));
        else if (isNew)
            perform(n, engine.valuePublished(key, key == "table" ? m_tableText : m_catalogText, m_now));
        auto status = isNew ? engine::ReadStatus::Value : engine::ReadStatus::Unchanged;
        perform(n, engine.platformReadEnded(key, status, m_now));
    });
}

void ExecutionFleet::forward(uint32_t from, engine::ForwardExecution& action)
{
    auto to = static_cast<uint32_t>(std::ranges::find(m_hosts, action.host, &Host::name) - m_hosts.begin());
    auto incarnation = m_hosts[from].incarnation;
    auto id = action.request.id;
    ++m_result.forwards;
    auto isDone = std::make_shared<bool>(false);
    auto done = [this, from, incarnation, id, isDone](execution::ForwardReply reply) {
        if (!std::exchange(*isDone, true))
            onHost(from, incarnation, [this, from, id, reply = std::move(reply)] {
                perform(from, m_hosts[from].engine->forwardFinished(id, reply, m_now));
            });
    };
    auto unreachable = [done] {
        done(base::Refusal { base::RefusalCode::OutcomeUnknown, base::Verdict::MayHaveRun, "unreachable", {} });
    };
    at(action.request.deadline + 200ms, unreachable);
    at(m_now + delay(), [this, from, to, done, unreachable, request = std::move(action.request)]() mutable {
        if (!m_hosts[to].engine) {
            unreachable();
            return;
        }
        if (!canReach(from, to))
            return;
        onHost(to, m_hosts[to].incarnation, [this, from, to, done, unreachable, request]() mutable {
            auto& host = m_hosts[to];
            request.id = host.engine->nextRequest();
            host.open[request.id] = [this, from, to, done, unreachable](const engine::Action& action) {
                std::optional<execution::ForwardReply> reply;
                if (const auto* answer = std::get_if<engine::ReplyExecution>(&action))
                    reply = answer->answer;
                else if (const auto* outcome = std::get_if<engine::ReplyOutcome>(&action))
                    reply = outcome->answer;
                else if (const auto* refusal = std::get_if<engine::ReplyRefusal>(&action))
                    reply = refusal->refusal;
                at(m_now + delay(), [this, from, to, done, unreachable, reply] {
                    if (reply && canReach(from, to))
                        done(*reply);
                    else if (!reply)
                        unreachable();
                });
            };
            perform(to, host.engine->submitExecution(request, m_now));
        });
    });
}

void ExecutionFleet::send(uint32_t n, engine::SendAttempt& action)
{
    auto id = ++m_lastCall;
    auto upstream = static_cast<uint32_t>(std::stoul(action.attempt.address.substr(1)));
    if (action.attempt.isProbe) {
        routing::AttemptResult result;
        result.attempt = action.attempt.id;
        result.upstream = action.attempt.upstream;
        result.status = AttemptStatus::Ran;
        result.load = routing::LoadReport {};
        atHost(
            n, m_now + delay(), [this, n, result] { perform(n, m_hosts[n].engine->attemptFinished(result, m_now)); });
        return;
    }
    // A ticket takes the first body that arrives; the other body of the same ticket must then not be sent.
    auto request = m_byBody.find(action.attempt.body.substr(0, action.attempt.body.find(' ')));
    note(request->second, m_hosts[n].name + " sends to u" + std::to_string(upstream));
    auto deadline = action.attempt.deadline;
    m_calls[id] = { n, m_hosts[n].incarnation, upstream, std::move(action.attempt), request->second };
    m_upstreams[upstream].calls.insert(id);
    at(m_now + delay(), [this, id] { arrive(id); });
    at(deadline, [this, id] { finish(id, AttemptStatus::TimedOut); });
}

void ExecutionFleet::arrive(uint64_t id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto& call = it->second;
    auto& upstream = m_upstreams[call.upstream];
    if (upstream.busy >= 2 * slots || m_random() % 500 == 0) {
        at(m_now + delay(), [this, id] { finish(id, AttemptStatus::Shed); });
        return;
    }
    auto& request = m_requests[call.request];
    auto isOther = call.attempt.body != request.body;
    ++(isOther ? request.otherRuns : request.runs);
    if (request.runs + request.otherRuns > 1)
        recordViolation(call.request, "ran twice");
    if (request.wasToldNotRun && !isOther)
        recordViolation(call.request, "ran after the caller was told that it has not run");
    note(call.request, "runs");
    ++upstream.busy;
    auto time = Duration(static_cast<int64_t>(-5000 * std::log(1 - base::uniform(m_random))) + 500);
    if (m_options.faults.lateAnswers && m_random() % 2000 == 0)
        time = std::chrono::seconds(1 + static_cast<int64_t>(m_random() % 45));
    auto number = call.upstream;
    auto generation = upstream.generation;
    at(m_now + time, [this, id, number, generation] {
        if (m_upstreams[number].generation == generation)
            --m_upstreams[number].busy;
        at(m_now + delay(), [this, id] { finish(id, AttemptStatus::Ran); });
    });
}

void ExecutionFleet::finish(uint64_t id, AttemptStatus status)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_upstreams[call.upstream].calls.erase(id);
    if (status != AttemptStatus::Ran && status != AttemptStatus::Shed)
        m_requests[call.request].hasLostCall = true;
    note(call.request, "call ends: " + std::string(toString(status)));
    onHost(call.host, call.incarnation, [this, call, status] {
        routing::AttemptResult result;
        result.attempt = call.attempt.id;
        result.request = call.attempt.request;
        result.upstream = call.attempt.upstream;
        result.status = status;
        result.body = status == AttemptStatus::Ran ? "done " + call.attempt.body : "";
        if (status == AttemptStatus::Ran)
            result.load = routing::LoadReport { 0, 0, false, 5ms };
        perform(call.host, m_hosts[call.host].engine->attemptFinished(result, m_now));
    });
}

void ExecutionFleet::crash(uint32_t n)
{
    auto& upstream = m_upstreams[n];
    ++upstream.generation;
    upstream.busy = 0;
    for (auto id : std::exchange(upstream.calls, {}))
        finish(id, AttemptStatus::ConnectionLost);
}

}
