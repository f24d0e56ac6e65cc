#include "replay/ExecutionFleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace papayabend::replay {

using namespace std::chrono_literals;
using base::Duration;
using base::Verdict;
using execution::ExecutionKind;

namespace {

    constexpr size_t violationTextsKept = 10;
    constexpr auto warmUp = 5s;
    constexpr auto queryInterval = 20s;

    // A caller closes its connection this long after its deadline.
    constexpr auto patience = 2s;

    constexpr auto otherBody = " with another body";

}

void ExecutionFleet::note(uint32_t n, const std::string& text)
{
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    m_requests[n].trace += "\n    " + std::to_string(ms) + " ms " + text;
}

void ExecutionFleet::recordViolation(uint32_t n, const std::string& text)
{
    ++m_result.violations;
    if (m_result.violationTexts.size() < violationTextsKept)
        m_result.violationTexts.push_back(
            "seed " + std::to_string(m_options.seed) + ", " + m_requests[n].body + ": " + text + m_requests[n].trace);
}

void ExecutionFleet::arrival()
{
    auto n = static_cast<uint32_t>(m_requests.size());
    auto& request = m_requests.emplace_back();
    request.body = "r" + std::to_string(n);
    request.sendsLeft = m_options.faults.resends ? 4 : 3;
    request.queriesLeft = 12; // Longer than the validity of a ticket.
    request.ticketTriesLeft = 10;
    m_byBody[request.body] = n;
    obtainTicket(n);
    if (m_requests.size() < m_options.requests)
        at(m_now
                + Duration(
                    static_cast<int64_t>(-1e6 / m_options.requestsPerSecond * std::log(1 - base::uniform(m_random)))),
            [this] { arrival(); });
    m_lastArrival = m_now;
}

void ExecutionFleet::obtainTicket(uint32_t n)
{
    auto& request = m_requests[n];
    if (request.ticketTriesLeft-- == 0) {
        ++m_result.noTicket;
        request.isSettled = true;
        return;
    }
    auto host = randomHost();
    auto& issuer = m_hosts[host];
    auto retry = [this, n] { at(m_now + 500ms, [this, n] { obtainTicket(n); }); };
    if (!issuer.engine || issuer.isPaused) {
        retry();
        return;
    }
    if (issuer.engine->stage() != membership::Lifecycle::Serving) {
        // The host redirects its callers.
        auto other = issuer.engine->entry().otherHost({}, {}, { request.body, {} }, m_now);
        auto it = std::ranges::find_if(
            m_hosts, [&](const Host& candidate) { return other && candidate.name + ":1" == *other; });
        if (it == m_hosts.end() || !it->engine || it->isPaused
            || it->engine->stage() != membership::Lifecycle::Serving) {
            retry();
            return;
        }
        host = static_cast<uint32_t>(it - m_hosts.begin());
    }
    auto reply = m_hosts[host].engine->issueTicket(n % 3 == 0 ? "sul" : "muscat", "faturas", m_now);
    auto* issued = std::get_if<execution::IssuedTicket>(&reply);
    if (!issued) {
        retry();
        return;
    }
    request.ticket = issued->ticket;
    request.issuer = host;
    request.issuerIncarnation = m_hosts[host].incarnation;
    note(n, "ticket " + request.ticket);
    at(m_now + delay(), [this, n] { submit(n, ExecutionKind::Run, false); });
    // A caller that lost its patience resends at once, to any host.
    if (m_options.faults.resends && m_random() % 10 == 0)
        at(m_now + delay(), [this, n] { submit(n, ExecutionKind::Run, true); });
}

void ExecutionFleet::submit(uint32_t n, ExecutionKind kind, bool isResend)
{
    auto& request = m_requests[n];
    auto host = request.issuer;
    if (isResend || kind == ExecutionKind::QueryOutcome || (m_options.faults.resends && m_random() % 10 == 0))
        host = randomHost();
    execution::ExecutionRequest sent;
    sent.kind = kind;
    sent.ticket = request.ticket;
    if (kind == ExecutionKind::Run) {
        sent.account = n % 3 == 0 ? "sul" : "muscat";
        sent.service = "faturas";
        sent.body = request.body;
    }
    ++request.openReplies;
    note(n, (kind == ExecutionKind::Run ? "run asked of " : "outcome asked of ") + m_hosts[host].name);
    auto& target = m_hosts[host];
    if (!target.engine) {
        at(m_now + delay(), [this, n, kind] { replied(n, kind, nullptr); });
        return;
    }
    auto timeout = kind == ExecutionKind::Run ? std::chrono::milliseconds(300 + m_random() % 1500) : 1000ms;
    auto isOver = std::make_shared<bool>(false);
    at(m_now + timeout + patience, [this, n, host, kind, isOver, incarnation = target.incarnation, since = m_now] {
        if (std::exchange(*isOver, true))
            return;
        const auto& it = m_hosts[host];
        if (it.engine && it.incarnation == incarnation && !it.isPaused && it.resumed < since)
            recordViolation(n, it.name + " gave no reply");
        replied(n, kind, nullptr);
    });
    onHost(host, target.incarnation, [this, n, host, kind, sent, timeout, isOver]() mutable {
        auto& at = m_hosts[host];
        sent.id = at.engine->nextRequest();
        sent.received = m_now;
        sent.deadline = m_now + timeout;
        at.open[sent.id] = [this, n, kind, isOver](const engine::Action& action) {
            auto isReset = std::holds_alternative<engine::StateChange>(action);
            // A reply to a caller that has given up is still checked.
            if (std::exchange(*isOver, true)) {
                if (isReset)
                    return;
                ++m_requests[n].openReplies;
            }
            replied(n, kind, isReset ? nullptr : &action);
        };
        perform(host, at.engine->submitExecution(sent, m_now));
    });
    if (kind == ExecutionKind::Run && m_options.faults.resends && m_random() % 50 == 0) {
        onHost(host, target.incarnation, [this, host, sent]() mutable {
            auto& at = m_hosts[host];
            sent.id = at.engine->nextRequest();
            sent.deadline = m_now + 1s;
            sent.body += otherBody;
            at.open[sent.id] = [](const engine::Action&) {};
            perform(host, at.engine->submitExecution(sent, m_now));
        });
    }
}

void ExecutionFleet::replied(uint32_t n, ExecutionKind kind, const engine::Action* action)
{
    auto& request = m_requests[n];
    --request.openReplies;
    if (!action) {
        note(n, "reset");
        at(m_now + delay(), [this, n] { next(n); });
        return;
    }
    std::optional<Verdict> verdict;
    std::string body;
    if (const auto* answer = std::get_if<engine::ReplyExecution>(action)) {
        verdict = Verdict::Ran;
        body = answer->answer.body;
    } else if (const auto* outcome = std::get_if<engine::ReplyOutcome>(action)) {
        verdict = outcome->answer.verdict;
        body = outcome->answer.body;
    } else {
        const auto& refusal = std::get<engine::ReplyRefusal>(*action).refusal;
        verdict = refusal.verdict;
        note(n, "refused: " + std::string(toString(refusal.code)));
    }
    note(n,
        "told " + std::string(verdict ? toString(*verdict) : "unused")
            + (kind == ExecutionKind::QueryOutcome ? " on asking" : ""));
    if (verdict == Verdict::NotRun) {
        request.wasToldNotRun = true;
        if (request.runs > 0)
            recordViolation(n, "told not run, but it ran");
    }
    auto isOtherAnswer
        = kind == ExecutionKind::QueryOutcome && request.otherRuns == 1 && body == "done " + request.body + otherBody;
    if (verdict == Verdict::Ran && !isOtherAnswer && (request.runs != 1 || body != "done " + request.body))
        recordViolation(n, "told that it ran with the answer '" + body + "'");
    if ((verdict == Verdict::Ran || verdict == Verdict::NotRun) && !request.isSettled) {
        request.isSettled = true;
        ++(verdict == Verdict::Ran ? m_result.answered : m_result.notRun);
    }
    if (!request.isSettled)
        at(m_now + delay(), [this, n] { next(n); });
}

void ExecutionFleet::next(uint32_t n)
{
    auto& request = m_requests[n];
    if (request.isSettled || request.openReplies > 0)
        return;
    if (request.sendsLeft > 0) {
        --request.sendsLeft;
        at(m_now + std::chrono::milliseconds(100 + m_random() % 1000),
            [this, n] { submit(n, ExecutionKind::Run, true); });
    } else if (request.queriesLeft > 0) {
        --request.queriesLeft;
        at(m_now + queryInterval, [this, n] { submit(n, ExecutionKind::QueryOutcome, true); });
    }
}

void ExecutionFleet::startStop(uint32_t n)
{
    onHost(n, m_hosts[n].incarnation, [this, n] {
        ++m_result.stops;
        perform(n, m_hosts[n].engine->beginStop(m_now));
    });
}

void ExecutionFleet::rollNext(uint32_t n)
{
    if (m_options.isRolling && n < m_hosts.size())
        at(m_now + 3s, [this, n] { startStop(n); });
}

void ExecutionFleet::injectFault()
{
    auto gap = std::chrono::duration<double>(m_options.faultInterval).count() * -std::log(1 - base::uniform(m_random));
    if (m_requests.size() < m_options.requests)
        at(m_now + Duration(static_cast<int64_t>(gap * 1e6)), [this] { injectFault(); });
    const auto& faults = m_options.faults;
    std::vector<std::function<void()>> kinds;
    auto n = randomHost();
    auto& host = m_hosts[n];
    bool isUp = host.engine && !host.isPaused;
    auto alive = std::ranges::count_if(
        m_hosts, [](const Host& it) { return it.engine && it.engine->stage() == membership::Lifecycle::Serving; });
    bool canLose = isUp && alive > 3;
    if (faults.hostDeath && canLose)
        kinds.emplace_back([this, n] {
            endHost(n, false);
            at(m_now + std::chrono::milliseconds(500 + m_random() % 5000), [this, n] { startHost(n); });
        });
    if (faults.pause && isUp)
        kinds.emplace_back([this, n] {
            m_hosts[n].isPaused = true;
            auto incarnation = m_hosts[n].incarnation;
            at(m_now + std::chrono::milliseconds(200 + m_random() % 15'000), [this, n, incarnation] {
                auto& it = m_hosts[n];
                if (!it.engine || it.incarnation != incarnation)
                    return;
                it.isPaused = false;
                it.resumed = m_now;
                for (auto& held : std::exchange(it.held, {}))
                    held();
            });
        });
    if (faults.partition && !m_isPartitioned)
        kinds.emplace_back([this] {
            m_isPartitioned = true;
            m_side.clear();
            for (uint32_t it = 0; it < m_hosts.size(); ++it) {
                if (m_random() % 2 == 0)
                    m_side.insert(it);
            }
            at(m_now + std::chrono::milliseconds(500 + m_random() % 15'000), [this] { m_isPartitioned = false; });
        });
    if (faults.plannedStops && canLose)
        kinds.emplace_back([this, n] { startStop(n); });
    if (faults.upstreamCrashes)
        kinds.emplace_back([this] { crash(static_cast<uint32_t>(base::uniformIndex(m_random, m_upstreams.size()))); });
    if (kinds.empty())
        return;
    ++m_result.faults;
    kinds[base::uniformIndex(m_random, kinds.size())]();
}

void ExecutionFleet::checkEnd()
{
    for (uint32_t n = 0; n < m_requests.size(); ++n) {
        auto& request = m_requests[n];
        if (request.openReplies > 0)
            recordViolation(n, "lost without a reply or a reset");
        if (request.isSettled)
            continue;
        ++m_result.unknown;
        m_result.unknownRan += request.runs > 0 ? 1 : 0;
        const auto& issuer = m_hosts[request.issuer];
        bool isIssuerGone = !issuer.engine || issuer.incarnation != request.issuerIncarnation;
        if (request.hasLostCall)
            ++m_result.unknownLostCall;
        else if (isIssuerGone)
            ++m_result.unknownLostHost;
        else
            recordViolation(n, "unknown without a fault at its host");
    }
}

FleetResult ExecutionFleet::run()
{
    for (uint32_t n = 0; n < m_hosts.size(); ++n)
        startHost(n);
    at(m_now + warmUp, [this] {
        arrival();
        injectFault();
        rollNext(0);
    });
    bool isDone = false;
    while (!m_events.empty() && !isDone) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        // The last caller asks for the last time long before this.
        isDone = m_requests.size() >= m_options.requests && m_now > m_lastArrival + 5min;
    }
    m_result.requests = m_requests.size();
    checkEnd();
    return std::move(m_result);
}

}
