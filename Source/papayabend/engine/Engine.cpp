#include "papayabend/engine/Engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayabend::engine {

namespace {

    // Time after which a caller should retry at a host that has just started or was paused.
    constexpr base::Duration notReadyRetryDelay = std::chrono::seconds(1);

    void append(Actions& to, Actions&& from) { std::ranges::move(from, std::back_inserter(to)); }

}

Engine::Engine(uint64_t seed, membership::HostIdentity identity, const EngineSettings& settings)
    : m_shared(seed, std::move(identity))
    , m_searches(m_shared)
    , m_executions(m_shared, settings.tickets)
    , m_admission(m_shared, settings.admission, settings.quotas)
    , m_entry(m_shared, settings.entry, settings.stop)
    , m_control(m_shared)
    , m_quarantine(m_shared)
    , m_report(m_shared)
{
    configureRouting({});
}

void Engine::configureRouting(routing::RoutingSettings settings)
{
    if (settings.ownFailureDomain.empty())
        settings.ownFailureDomain = m_shared.identity.failureDomain;
    m_shared.routing.quarantine.configure(settings.crashes);
    m_shared.upstreams.configure(std::move(settings));
}

routing::RequestId Engine::nextRequest() { return ++m_lastRequest; }

Actions Engine::submitSearch(query::SearchRequest request, base::TimePoint now)
{
    m_report.requestReceived(request.id, request.account, request.service, now);
    auto ready = readiness(now);
    if (!ready.canServe)
        return m_report.recordReplies(
            { ReplyRefusal { request.id, { ready.code, base::Verdict::NotRun, ready.reason, notReadyRetryDelay } } },
            now);
    auto actions = applyDecisions(m_admission.refresh(now), now);
    append(actions, applyDecisions(m_admission.submitSearch(std::move(request), now), now));
    return m_report.recordReplies(std::move(actions), now);
}

TicketReply Engine::issueTicket(std::string_view account, std::string_view service, base::TimePoint now)
{
    auto ready = readiness(now);
    if (!ready.canServe)
        return base::Refusal { ready.code, base::Verdict::NotRun, ready.reason, notReadyRetryDelay };
    return m_executions.issueTicket(account, service, now);
}

Actions Engine::submitExecution(execution::ExecutionRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto account = request.account;
    auto service = request.service;
    auto deadline = request.deadline;
    if (request.kind == execution::ExecutionKind::Run && !request.isForwarded)
        m_report.requestReceived(id, account, service, now);
    auto step = m_executions.start(std::move(request), now);
    bool needsAdmission = step.needsAdmission;
    auto actions = releaseEnded(std::move(step), now);
    if (!needsAdmission)
        return m_report.recordReplies(std::move(actions), now);
    append(actions, m_searches.sendDueProbes(id, now));
    auto ready = readiness(now);
    if (!ready.canServe) {
        append(actions,
            releaseEnded(m_executions.refused(id, { ready.code, base::Verdict::NotRun, ready.reason, {} }, now), now));
        return m_report.recordReplies(std::move(actions), now);
    }
    append(actions, applyDecisions(m_admission.refresh(now), now));
    append(actions,
        applyDecisions(m_admission.submitExecution(id, std::move(account), std::move(service), deadline, now), now));
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::forwardFinished(routing::RequestId id, execution::ForwardReply reply, base::TimePoint now)
{
    return m_report.recordReplies(releaseEnded(m_executions.forwardFinished(id, std::move(reply), now), now), now);
}

report::Report Engine::report(base::TimePoint now)
{
    return m_report.report(now, [this](std::string_view account, std::string_view service) {
        return m_admission.admission().granted(account, service);
    });
}

Actions Engine::releaseAdmission(std::span<const routing::RequestId> ended, base::TimePoint now)
{
    Actions actions;
    for (auto id : ended)
        append(actions, applyDecisions(m_admission.requestEnded(id, now), now));
    return actions;
}

Actions Engine::releaseEnded(Actions actions, base::TimePoint now)
{
    std::vector<routing::RequestId> ended;
    for (const auto& action : actions) {
        if (const auto* reply = std::get_if<ReplySearch>(&action))
            ended.push_back(reply->request);
        else if (const auto* refusal = std::get_if<ReplyRefusal>(&action))
            ended.push_back(refusal->request);
    }
    append(actions, releaseAdmission(ended, now));
    return actions;
}

Actions Engine::releaseEnded(ExecutionStep step, base::TimePoint now)
{
    append(step.actions, releaseAdmission(step.toRelease, now));
    return std::move(step.actions);
}

Actions Engine::applyDecisions(AdmissionDecisions decisions, base::TimePoint now)
{
    auto actions = std::move(decisions.actions);
    auto ready = decisions.admittedSearches.empty() && decisions.admittedExecutions.empty() ? Readiness { true, {}, {} }
                                                                                            : readiness(now);
    base::Refusal notReady { ready.code, base::Verdict::NotRun, ready.reason, notReadyRetryDelay };
    for (auto& search : decisions.admittedSearches) {
        auto id = search.id;
        append(actions,
            releaseEnded(
                ready.canServe ? m_searches.start(std::move(search), now) : Actions { ReplyRefusal { id, notReady } },
                now));
    }
    for (auto id : decisions.admittedExecutions) {
        if (ready.canServe) {
            append(actions, releaseEnded(m_executions.admitted(id, now), now));
            continue;
        }
        append(actions, releaseEnded(m_executions.refused(id, notReady, now), now));
        append(actions, applyDecisions(m_admission.requestEnded(id, now), now));
    }
    for (auto& refused : decisions.refusedSearches)
        actions.emplace_back(ReplyRefusal { refused.id, std::move(refused.refusal) });
    for (const auto& refused : decisions.refusedExecutions)
        append(actions, releaseEnded(m_executions.refused(refused.id, refused.refusal, now), now));
    return actions;
}

Actions Engine::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    routing::attemptFinished(m_shared.upstreams, result, now);
    m_admission.attemptFinished(result);
    auto actions = releaseEnded(m_executions.attemptFinished(result, now), now);
    append(actions, releaseEnded(m_searches.attemptFinished(result, now), now));
    append(actions, m_quarantine.sendPending(now));
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::timerExpired(routing::RequestId id, base::TimePoint now)
{
    if (AdmissionPath::isQueueTimer(id))
        return m_report.recordReplies(applyDecisions(m_admission.queueTimerExpired(id, now), now), now);
    auto actions = releaseEnded(m_executions.timerExpired(id, now), now);
    append(actions, releaseEnded(m_searches.timerExpired(id, now), now));
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::valuePublished(std::string_view key, std::string_view text, base::TimePoint now)
{
    auto actions = m_control.valuePublished(key, text, now);
    append(actions, applyDecisions(m_admission.refresh(now), now));
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::hostListPublished(std::string_view text, base::TimePoint now)
{
    return m_control.hostListPublished(text, now);
}

Actions Engine::platformReadEnded(std::string_view key, ReadStatus status, base::TimePoint now)
{
    return m_control.platformReadEnded(key, status, now);
}

Actions Engine::peerMessage(const PeerMessage& message, base::TimePoint now)
{
    // Messages with a demand report or hand-over have no content for the control path.
    if (message.demandSequence != 0)
        return applyDecisions(m_admission.peerMessage(message, now), now);
    if (message.handOver != 0 || message.handOverAck != 0)
        return m_executions.peerMessage(message, now);
    m_quarantine.applyReceived(message.quarantine, now);
    auto actions = m_control.peerMessage(message, now);
    append(actions, applyDecisions(m_admission.refresh(now), now));
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::tick(base::TimePoint now)
{
    auto actions = m_control.tick(now);
    m_executions.expire(now);
    auto openRequests = m_admission.openRequests() + m_executions.openRequests();
    if (auto next = m_entry.nextStage(openRequests, m_executions.isHandedOver(now), now)) {
        append(actions, m_control.advance(*next, now));
        if (*next == membership::Lifecycle::HandingOver)
            m_executions.beginHandOver(now);
    }
    append(actions, m_executions.handOver(now));
    append(actions, applyDecisions(m_admission.tick(now), now));
    append(actions, m_quarantine.tick(now));
    m_shared.upstreams.setServingHosts(static_cast<uint32_t>(m_shared.hostView.load()->hosts.size()));
    m_report.tick(now);
    return m_report.recordReplies(std::move(actions), now);
}

Actions Engine::beginStop(base::TimePoint now)
{
    if (!m_entry.beginStop(now))
        return {};
    return m_control.advance(membership::Lifecycle::Withdrawing, now);
}

}
