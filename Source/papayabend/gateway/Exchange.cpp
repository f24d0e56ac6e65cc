#include "papayabend/gateway/Exchange.h"

#include "papayabend/dispatch/SendDecision.h"
#include "papayabend/gateway/RequestRelay.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace papayabend::gateway {

namespace {

    // Subtracted from the time that an upstream is granted, so that its answer can still be forwarded.
    constexpr base::Duration upstreamMargin { std::chrono::milliseconds(5) };
    // Attempts that are no longer needed have this time to end by themselves, because cancelling one closes its
    // connection, and a new one must be opened.
    constexpr base::Duration surplusAttemptTime { std::chrono::milliseconds(400) };
    // An attempt that cannot be repeated has this time after the deadline, at which upstreams stop their work.
    constexpr base::Duration abandonedAttemptTime { std::chrono::seconds(1) };
    // Pause before a request is sent again to upstreams that refused it because they were full.
    constexpr base::Duration fullUpstreamPause { std::chrono::milliseconds(30) };
    // Shortest wait for a connection before another upstream is tried; opening one takes some milliseconds.
    constexpr base::Duration minConnectionWait { std::chrono::milliseconds(20) };
    // Pause before the next try for a hedge that found no retry budget or no upstream.
    constexpr base::Duration hedgeRetryPause { std::chrono::milliseconds(10) };
    // The same while upstreams name limits, which last longer.
    constexpr base::Duration limitedHedgeRetryPause { std::chrono::milliseconds(50) };
    // Retry-After while the process starts, stops or refreshes its content.
    constexpr base::Duration unavailableRetryAfter { std::chrono::milliseconds(50) };

}

void Exchange::begin(GatewayState& state, const std::shared_ptr<ClientRequest>& client)
{
    std::make_shared<Exchange>(state, client)->start();
}

Exchange::Exchange(GatewayState& state, std::shared_ptr<ClientRequest> client)
    : m_state(state)
    , m_client(std::move(client))
    , m_configuration(state.content.configuration())
    , m_arrivedAt(m_client->arrivedAt)
    , m_timer(state.io)
{
}

void Exchange::start()
{
    if (!readRequest())
        return;
    auto now = base::BootClock::now();
    if (auto left = m_state.suspects.refusedFor(m_fingerprint, now); left.count() > 0)
        return refuse(503, "quarantined", "the request is quarantined: upstreams have ended while they ran it", left);
    if (isFanOut()) {
        for (const auto& shard : m_route->shards)
            m_subrequests.emplace_back().service = shard;
    } else {
        m_subrequests.emplace_back().service = m_state.split.next(*m_route);
    }
    m_state.wantedAttempts += m_subrequests.size();
    if (!admit(now))
        return;
    for (auto& subrequest : m_subrequests)
        countUpstreams(subrequest);
    if (!isServable())
        return refuse(503, "no_upstream", "too few of the services or shards have a usable upstream" + evacuationNote(),
            minRetryAfter + retryAfterSpread);
    if (auto wait = admissionWait(now); wait.count() > 0)
        return refuse(503, "at_limit", "the upstreams have named limits or pauses that admit no more requests now",
            std::max(wait, minRetryAfter));
    if (isFanOut()) {
        if (auto wait = acquireFanOut(now))
            return refuse(503, "overload",
                "the shards are overloaded; concurrency limit of this host: "
                    + std::to_string(static_cast<int>(std::ceil(fanOutLimit()))),
                *wait);
        m_holdsLimiter = true;
    }
    m_state.exchanges.emplace(this, weak_from_this());
    m_client->onClientLeft = [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->clientLeft();
    };
    m_hedgeDelay = dispatch::hedgeDelay(*m_latency, m_route->latencyObjective);
    auto budget = budgetOf(m_state.settings.retryBudget);
    m_isStartingAttempts = true;
    for (auto& subrequest : m_subrequests) {
        m_state.budget.addRequest(subrequest.service, budget, now);
        if (!tryAttempt(subrequest, "first"))
            failSubrequest(subrequest, isEvacuated(subrequest) ? "evacuated" : "no usable upstream");
    }
    m_isStartingAttempts = false;
    decide();
    armTimer();
}

bool Exchange::readRequest()
{
    const auto& names = m_state.adapter.headers;
    const auto& message = m_client->message;
    m_method = toView(message.method_string());
    m_target = toView(message.target());
    m_host = routes::canonicalHost(toView(message[http::field::host]));
    m_id = toView(message[toBeast(names.requestId)]);
    if (m_state.isStale) {
        refuse(
            503, "stale_view", "the process was paused and has not refreshed its content yet", unavailableRetryAfter);
        return false;
    }
    if (!m_configuration) {
        refuse(503, "not_ready", "no configuration has been read yet", unavailableRetryAfter);
        return false;
    }
    if (!m_target.starts_with('/') || m_host.empty() || message.count(http::field::host) != 1) {
        finish(plainAnswer(400, "the request needs a target that begins with / and exactly one Host field"),
            "bad_request");
        return false;
    }
    m_route = routes::findRoute(*m_configuration, m_host, m_target);
    if (!m_route) {
        finish(plainAnswer(404, "no route matches the host and path"), "no_route");
        return false;
    }
    m_fields = endToEndFields(message, { names.deadline, names.expectedInstance, RequestRelay::relayField });
    m_fingerprint = dispatch::CrashSuspects::fingerprintOf(m_method, m_host, m_target, message.body());
    auto time = base::Duration::max();
    if (m_route->timeout.count() > 0)
        time = m_route->timeout;
    if (auto left = parseNumber(toView(message[toBeast(names.deadline)])))
        time = std::min<base::Duration>(time, std::chrono::milliseconds(std::min<uint64_t>(*left, 3'600'000)));
    if (time == base::Duration::max())
        time = std::chrono::minutes(1);
    auto now = base::BootClock::now();
    auto returnTime = dispatch::returnTime(m_client->path, m_state.turnDelay, now);
    m_deadlineAt = m_arrivedAt + std::max(time - returnTime, time / 2);
    m_objective = m_route->latencyObjective.count() > 0 ? m_route->latencyObjective : time;
    m_objectiveAt = m_arrivedAt + std::max(m_objective - returnTime, m_objective / 2);
    m_latency = &m_state.latency[m_route->name];
    if (!m_state.endsAt)
        return true;
    auto isAdmitted = admitDuringStop(*m_state.endsAt, now);
    m_deadlineAt = std::min(m_deadlineAt, *m_state.endsAt);
    return isAdmitted;
}

dispatch::SubrequestPolicy Exchange::policy() const
{
    return { m_route->idempotent || isFanOut(), m_route->maxAttempts, m_hedgeDelay };
}

base::Duration Exchange::maxConnectionWait() const { return std::max(m_hedgeDelay / 2, minConnectionWait); }

bool Exchange::tryAttempt(Subrequest& subrequest, const char* cause, bool isHedge)
{
    auto now = base::BootClock::now();
    if (m_state.checkPause)
        m_state.checkPause(now);
    if (m_state.isStale || m_state.suspects.isRefused(m_fingerprint, now))
        return false;
    auto candidates = candidatesFor(subrequest, isHedge, now);
    countUpstreams(subrequest);
    auto medianLatency = base::Duration(static_cast<int64_t>(m_latency->median));
    auto choice
        = dispatch::chooseUpstream(candidates, { medianLatency, m_hedgeDelay, now, learnedChoice(subrequest, now) });
    if (!choice)
        return false;
    // The budget is taken at the send; an attempt without any left would only wait in vain.
    subrequest.lacksBudget = dispatch::needsBudget(subrequest.history) && budgetLeft(subrequest, now) < 1;
    if (subrequest.lacksBudget) {
        m_state.metrics.extraDenied();
        return false;
    }
    const auto& record = candidates[*choice].entry->record;
    auto attempt = createAttempt(subrequest, record, cause, isHedge);
    recordChoice(subrequest, candidates, *choice, *attempt);
    subrequest.tried.push_back(record.id);
    subrequest.untried -= std::min<size_t>(subrequest.untried, 1);
    subrequest.attempts.push_back(attempt);
    dispatch::attemptQueued(subrequest.history);
    m_state.pool.submit(record, attempt);
    return true;
}

std::shared_ptr<Attempt> Exchange::createAttempt(
    Subrequest& subrequest, const discovery::UpstreamRecord& record, const char* cause, bool isHedge)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->upstream = record.id;
    attempt->isHedge = isHedge;
    attempt->requestId = m_id;
    attempt->isHead = m_method == "HEAD";
    attempt->needsFreshConnection = !policy().isIdempotent;
    attempt->usedConnections = subrequest.usedConnections;
    attempt->createdAt = base::BootClock::now();
    auto self = shared_from_this();
    auto index = static_cast<size_t>(&subrequest - m_subrequests.data());
    attempt->buildRequest = [self](const std::string& upstream) { return self->buildUpstreamRequest(upstream); };
    attempt->reasonNotToSend = [self, index, id = record.id, cause, isHedge] {
        return self->takeSend(self->m_subrequests[index], id, cause, isHedge);
    };
    attempt->onSent = [self, index](const Attempt& sent) { self->attemptSent(self->m_subrequests[index], sent); };
    attempt->onEnd = [self, index](const Attempt& ended, CallResult result) {
        auto isHandled = self->m_state.faults->contain(
            "upstream", [&] { self->attemptEnded(self->m_subrequests[index], ended, std::move(result)); });
        if (!isHandled)
            self->finish(plainAnswer(502, "the answer of an upstream could not be handled"), "fault");
    };
    return attempt;
}

std::string Exchange::buildUpstreamRequest(const std::string& upstream) const
{
    const auto& names = m_state.adapter.headers;
    auto left = std::max<int64_t>(base::toMilliseconds(m_deadlineAt - base::BootClock::now() - upstreamMargin), 1);
    auto fields = m_fields + names.deadline + ": " + std::to_string(left) + "\r\n" + names.expectedInstance + ": "
        + upstream + "\r\n";
    const auto& message = m_client->message;
    auto needsLength = !message.body().empty() || message.has_content_length() || message.chunked();
    return requestText(m_method, m_target, fields, message.body(), needsLength);
}

void Exchange::attemptSent(Subrequest& subrequest, const Attempt& attempt)
{
    dispatch::attemptSent(subrequest.history, attempt.sentAt);
    if (auto connection = attempt.connection.lock())
        subrequest.usedConnections.push_back(connection->number());
    m_state.metrics.attemptWaited(attempt.sentAt - attempt.createdAt);
    if (!m_isStartingAttempts)
        armTimer();
}

bool Exchange::recordAttemptResult(Subrequest& subrequest, const Attempt& attempt, const CallResult& result)
{
    auto now = base::BootClock::now();
    auto& load = m_state.pool.load(attempt.upstream);
    auto& latency = *m_latency;
    // A waiting attempt of a subrequest that is settled was cancelled by this host.
    if (result.end == CallEnd::Lost || (result.end == CallEnd::NotSent && subrequest.phase == SubrequestPhase::Open))
        recordEstimate(attempt, result, std::nullopt);
    if (result.end == CallEnd::NotSent) {
        if (result.isWithheld)
            m_state.metrics.attemptWithheld(result.reason);
        else if (!m_isFinished && subrequest.phase == SubrequestPhase::Open)
            dispatch::addFailure(load, now);
        return true;
    }
    if (result.end != CallEnd::Answered) {
        // After the end of the request, this host cancels the attempt itself, which shows only that the upstream was
        // slow, not that it failed.
        if (m_isFinished)
            dispatch::addLatency(load, now - attempt.sentAt, base::Duration(static_cast<int64_t>(latency.median)), now);
        else
            dispatch::addFailure(load, now);
        if (result.end == CallEnd::Lost && result.isEndedByPeer)
            recordLoss(subrequest, attempt, now);
        return false;
    }
    auto status = result.answer.result_int();
    // Another upstream answers with 421; it says nothing about the one that the attempt was meant for.
    if (status != 421)
        recordEstimate(attempt, result, recordUpstreamReport(subrequest, attempt, result.answer));
    auto hasNotRun = status == 421 || !fieldOf(result.answer, m_state.adapter.headers.notExecuted).empty();
    if (hasNotRun) {
        if (status == 421)
            dispatch::addMisdirection(load, now);
        else
            load.fullUntil = now + fullUpstreamPause;
        subrequest.wasTurnedAway = subrequest.wasTurnedAway || status != 421;
        return true;
    }
    if (isSuccess(status) || !fieldOf(result.answer, m_state.adapter.headers.signature).empty())
        recordRun(subrequest, attempt, now);
    if (isSuccess(status)) {
        auto duration = now - attempt.sentAt;
        dispatch::addLatency(load, duration, base::Duration(static_cast<int64_t>(latency.median)), now);
        dispatch::addSample(latency, duration);
    } else if (status >= 500) {
        dispatch::addFailure(load, now);
    }
    return false;
}

void Exchange::attemptEnded(Subrequest& subrequest, const Attempt& attempt, CallResult result)
{
    std::erase_if(subrequest.attempts, [&](const auto& it) { return it.get() == &attempt; });
    auto hasNotRun = recordAttemptResult(subrequest, attempt, result);
    dispatch::attemptEnded(subrequest.history, attempt.isSent(), hasNotRun);
    if (result.end != CallEnd::Answered || !isSuccess(result.answer.result_int()))
        subrequest.lastReason = attempt.upstream + ": "
            + (result.end == CallEnd::Answered ? "status " + std::to_string(result.answer.result_int())
                                               : result.reason);
    if (m_isFinished || subrequest.phase != SubrequestPhase::Open)
        return;
    // The gate decides whether it may be chosen again.
    if (result.isWithheld && std::erase(subrequest.tried, attempt.upstream) > 0)
        ++subrequest.untried;
    auto isHedge = attempt.isHedge && subrequest.history.inFlight > 0;
    // A request under which an upstream has just ended goes to one upstream at a time.
    if ((result.isWithheld || isHedge) && subrequest.history.inFlight > 0
        && m_state.suspects.losses(m_fingerprint, base::BootClock::now()) > 0)
        return;
    if (result.end == CallEnd::Answered && !hasNotRun)
        handleAnswer(subrequest, std::move(result));
    else
        retryOrFail(subrequest, hasNotRun, isHedge);
    if (m_isStartingAttempts)
        return;
    decide();
    // No due time becomes earlier when a subrequest ends, so the timer stays as it is.
    if (subrequest.phase == SubrequestPhase::Open)
        armTimer();
}

void Exchange::handleAnswer(Subrequest& subrequest, CallResult result)
{
    auto& answer = result.answer;
    auto signature = fieldOf(answer, m_state.adapter.headers.signature);
    auto isUnencoded = answer.count(http::field::content_encoding) == 0;
    auto status = answer.result_int();
    auto isSignedSuccess = isSuccess(status) && !signature.empty() && isUnencoded;
    auto isDuplicate = m_signatures.contains(std::string(signature));
    if (isFanOut() ? isSignedSuccess && !isDuplicate
                   : isSignedSuccess || (status >= 300 && status < 500 && isUnencoded && !isNotRunStatus(status))) {
        subrequest.signature = signature;
        m_signatures.insert(subrequest.signature);
        subrequest.answer = std::move(answer);
        subrequest.hold = std::move(result.hold);
        subrequest.phase = SubrequestPhase::Answered;
        ++m_answered;
        cancelWaiting(subrequest);
        return;
    }
    // A failure that the upstream itself signed is forwarded unless a later attempt succeeds.
    if (!isFanOut() && status >= 500 && !isNotRunStatus(status) && isUnencoded && !signature.empty()) {
        subrequest.answer = std::move(answer);
        subrequest.hold = std::move(result.hold);
    }
    retryOrFail(subrequest, false);
}

void Exchange::retryOrFail(Subrequest& subrequest, bool hasNotRun, bool isHedge)
{
    auto now = base::BootClock::now();
    if (dispatch::mayRetry(policy(), subrequest.history) && now < m_deadlineAt) {
        if (holdRetry(subrequest, now))
            return;
        if (tryAttempt(subrequest, hasNotRun ? "not_run" : "lost", isHedge))
            return;
        if (subrequest.history.inFlight == 0 && hasNotRun && !isEvacuated(subrequest)
            && now + fullUpstreamPause < m_deadlineAt
            && subrequest.history.provenNotRun + subrequest.history.unsent
                < m_route->maxAttempts + dispatch::maxUnrunAttempts) {
            subrequest.retryAt
                = now + fullUpstreamPause + std::chrono::milliseconds(base::uniformIndex(m_state.random, 20));
            subrequest.tried.clear();
            subrequest.untried = subrequest.usable;
            return;
        }
    }
    if (subrequest.history.inFlight == 0)
        failSubrequest(subrequest, subrequest.lastReason);
}

void Exchange::failSubrequest(Subrequest& subrequest, const std::string& reason)
{
    subrequest.phase = SubrequestPhase::Failed;
    ++m_failed;
    if (subrequest.lastReason.empty())
        subrequest.lastReason = reason;
}

void Exchange::replaceWaitingAttempt(Subrequest& subrequest, base::TimePoint now)
{
    auto it = std::ranges::find_if(subrequest.attempts,
        [&](const auto& attempt) { return !attempt->isSent() && now - attempt->createdAt >= maxConnectionWait(); });
    if (it == subrequest.attempts.end() || !hasUntried(subrequest))
        return;
    // The attempt ends as NotSent, which starts one at another upstream.
    auto waiting = *it;
    m_state.pool.cancel(waiting, "waited too long for a connection");
}

void Exchange::runDueWork(base::TimePoint now)
{
    m_isStartingAttempts = true;
    for (auto& subrequest : m_subrequests) {
        if (subrequest.phase != SubrequestPhase::Open)
            continue;
        if (subrequest.retryAt && now >= *subrequest.retryAt) {
            subrequest.retryAt.reset();
            // Attempts that were in flight may have ended, and others may have been started, since the time was set.
            auto isStarted = holdRetry(subrequest, now)
                || (dispatch::mayRetry(policy(), subrequest.history) && tryAttempt(subrequest, "not_run"));
            if (!isStarted && subrequest.history.inFlight == 0)
                failSubrequest(subrequest, subrequest.lastReason);
        }
        replaceWaitingAttempt(subrequest, now);
        auto mayHedge = !isFanOut() || !isOverloaded();
        if (!mayHedge || now < subrequest.noHedgeUntil || !dispatch::isHedgeDue(policy(), subrequest.history, now))
            continue;
        // A request under which an upstream has just ended goes to one upstream at a time.
        if (m_state.suspects.losses(m_fingerprint, now) > 0 || !tryAttempt(subrequest, "late", true))
            subrequest.noHedgeUntil = now + (m_state.gate.limits.isEmpty() ? hedgeRetryPause : limitedHedgeRetryPause);
    }
    m_isStartingAttempts = false;
}

std::optional<base::TimePoint> Exchange::nextDue() const
{
    if (m_isFinished) {
        auto isOpen = [](const auto& it) { return it.history.inFlight > 0; };
        if (std::ranges::none_of(m_subrequests, isOpen))
            return std::nullopt;
        // An upstream that runs a request that cannot be repeated may finish it.
        return policy().isIdempotent ? m_finishedAt + surplusAttemptTime
                                     : std::max(m_deadlineAt, m_finishedAt) + abandonedAttemptTime;
    }
    auto now = base::BootClock::now();
    auto due = m_deadlineAt;
    auto mayBeUnsent = !isFanOut() && !dispatch::mayHaveRun(m_subrequests.front().history);
    if ((isFanOut() || mayBeUnsent) && m_objectiveAt > now)
        due = std::min(due, m_objectiveAt);
    auto hedging = policy();
    auto hedgesAreHeld = isFanOut() && isOverloaded();
    for (const auto& subrequest : m_subrequests) {
        if (subrequest.phase != SubrequestPhase::Open)
            continue;
        if (subrequest.retryAt)
            due = std::min(due, *subrequest.retryAt);
        auto mayHedge = hedging.isIdempotent && !hedgesAreHeld && subrequest.history.inFlight == 1
            && subrequest.history.waiting == 0 && dispatch::mayRetry(hedging, subrequest.history)
            && hasUntried(subrequest);
        if (mayHedge)
            due = std::min(due, std::max(subrequest.history.lastSentAt + m_hedgeDelay, subrequest.noHedgeUntil));
        for (const auto& attempt : subrequest.attempts) {
            if (!attempt->isSent() && hasUntried(subrequest))
                due = std::min(due, attempt->createdAt + maxConnectionWait());
        }
    }
    return due;
}

void Exchange::armTimer()
{
    auto due = nextDue();
    // A timer that fires early is harmless: onTimer() sets it again.
    auto isEarlyEnough = m_timerDueAt && due && *m_timerDueAt <= *due && !m_isFinished;
    if (due == m_timerDueAt || isEarlyEnough)
        return;
    m_timerDueAt = due;
    if (!due) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max<base::Duration>(*due - base::BootClock::now(), base::Duration(0)));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->onTimer();
    });
}

void Exchange::onTimer()
{
    auto now = base::BootClock::now();
    if (m_timerDueAt)
        dispatch::observe(m_state.turnDelay, now - *m_timerDueAt, now);
    m_timerDueAt.reset();
    if (m_isFinished)
        return cancelAttempts("no longer needed");
    runDueWork(now);
    decide();
    armTimer();
}

}
