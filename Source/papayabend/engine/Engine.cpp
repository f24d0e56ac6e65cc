#include "papayabend/engine/Engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayabend::engine {

namespace {

    // Time after which a caller should ask a host again that has just started or been paused.
    constexpr base::Duration notReadyDelay = std::chrono::seconds(1);

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
    m_report.started(request.id, request.account, request.service, now);
    auto ready = readiness(now);
    if (!ready.canServe)
        return m_report.observed(
            { ReplyRefusal { request.id, { ready.code, base::Verdict::NotRun, ready.reason, notReadyDelay } } }, now);
    auto actions = perform(m_admission.refresh(now), now);
    append(actions, perform(m_admission.submitSearch(std::move(request), now), now));
    return m_report.observed(std::move(actions), now);
}

TicketReply Engine::issueTicket(std::string_view account, std::string_view service, base::TimePoint now)
{
    auto ready = readiness(now);
    if (!ready.canServe)
        return base::Refusal { ready.code, base::Verdict::NotRun, ready.reason, notReadyDelay };
    return m_executions.issueTicket(account, service, now);
}

Actions Engine::submitExecution(execution::ExecutionRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto account = request.account;
    auto service = request.service;
    auto deadline = request.deadline;
    if (request.kind == execution::ExecutionKind::Run && !request.isForwarded)
        m_report.started(id, account, service, now);
    auto step = m_executions.start(std::move(request), now);
    bool wantsAdmission = step.wantsAdmission;
    auto actions = perform(std::move(step), now);
    if (!wantsAdmission)
        return m_report.observed(std::move(actions), now);
    append(actions, m_searches.probe(id, now));
    auto ready = readiness(now);
    if (!ready.canServe) {
        append(actions,
            perform(m_executions.refused(id, { ready.code, base::Verdict::NotRun, ready.reason, {} }, now), now));
        return m_report.observed(std::move(actions), now);
    }
    append(actions, perform(m_admission.refresh(now), now));
    append(
        actions, perform(m_admission.submitExecution(id, std::move(account), std::move(service), deadline, now), now));
    return m_report.observed(std::move(actions), now);
}

Actions Engine::forwardFinished(routing::RequestId id, execution::ForwardReply reply, base::TimePoint now)
{
    return m_report.observed(perform(m_executions.forwardFinished(id, std::move(reply), now), now), now);
}

report::Report Engine::report(base::TimePoint now)
{
    return m_report.report(now, [this](std::string_view account, std::string_view service) {
        return m_admission.admission().granted(account, service);
    });
}

Actions Engine::endedRequests(std::span<const routing::RequestId> ended, base::TimePoint now)
{
    Actions actions;
    for (auto id : ended)
        append(actions, perform(m_admission.ended(id, now), now));
    return actions;
}

Actions Engine::performSearch(Actions actions, base::TimePoint now)
{
    std::vector<routing::RequestId> ended;
    for (const auto& action : actions) {
        if (const auto* reply = std::get_if<ReplySearch>(&action))
            ended.push_back(reply->request);
        else if (const auto* refusal = std::get_if<ReplyRefusal>(&action))
            ended.push_back(refusal->request);
    }
    append(actions, endedRequests(ended, now));
    return actions;
}

Actions Engine::perform(ExecutionStep step, base::TimePoint now)
{
    append(step.actions, endedRequests(step.ended, now));
    return std::move(step.actions);
}

Actions Engine::perform(PassedRequests passed, base::TimePoint now)
{
    auto actions = std::move(passed.actions);
    auto ready = passed.searches.empty() && passed.executions.empty() ? Readiness { true, {}, {} } : readiness(now);
    base::Refusal notReady { ready.code, base::Verdict::NotRun, ready.reason, notReadyDelay };
    for (auto& search : passed.searches) {
        auto id = search.id;
        append(actions,
            performSearch(
                ready.canServe ? m_searches.start(std::move(search), now) : Actions { ReplyRefusal { id, notReady } },
                now));
    }
    for (auto id : passed.executions) {
        if (ready.canServe) {
            append(actions, perform(m_executions.admitted(id, now), now));
            continue;
        }
        append(actions, perform(m_executions.refused(id, notReady, now), now));
        append(actions, perform(m_admission.ended(id, now), now));
    }
    for (auto& refused : passed.refusedSearches)
        actions.emplace_back(ReplyRefusal { refused.id, std::move(refused.refusal) });
    for (const auto& refused : passed.refusedExecutions)
        append(actions, perform(m_executions.refused(refused.id, refused.refusal, now), now));
    return actions;
}

Actions Engine::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    routing::attemptFinished(m_shared.upstreams, result, now);
    m_admission.attemptFinished(result);
    auto actions = perform(m_executions.attemptFinished(result, now), now);
    append(actions, performSearch(m_searches.attemptFinished(result, now), now));
    append(actions, m_quarantine.announce(now));
    return m_report.observed(std::move(actions), now);
}

Actions Engine::timerExpired(routing::RequestId id, base::TimePoint now)
{
    if (AdmissionPath::isQueueTimer(id))
        return m_report.observed(perform(m_admission.queueTimerExpired(id, now), now), now);
    auto actions = perform(m_executions.timerExpired(id, now), now);
    append(actions, performSearch(m_searches.timerExpired(id, now), now));
    return m_report.observed(std::move(actions), now);
}

Actions Engine::valuePublished(std::string_view key, std::string_view text, base::TimePoint now)
{
    auto actions = m_control.valuePublished(key, text, now);
    append(actions, perform(m_admission.refresh(now), now));
    return m_report.observed(std::move(actions), now);
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
    // Messages of the request paths carry no news for the control path.
    if (message.demandSequence != 0)
        return perform(m_admission.peerMessage(message, now), now);
    if (message.handOver != 0 || message.handOverAck != 0)
        return m_executions.peerMessage(message, now);
    m_quarantine.received(message.quarantine, now);
    auto actions = m_control.peerMessage(message, now);
    append(actions, perform(m_admission.refresh(now), now));
    return m_report.observed(std::move(actions), now);
}

Actions Engine::tick(base::TimePoint now)
{
    auto actions = m_control.tick(now);
    m_executions.expire(now);
    auto open = m_admission.open() + m_executions.open();
    if (auto next = m_entry.nextStage(open, m_executions.isHandedOver(now), now)) {
        append(actions, m_control.advance(*next, now));
        if (*next == membership::Lifecycle::HandingOver)
            m_executions.beginHandOver(now);
    }
    append(actions, m_executions.handOver(now));
    append(actions, perform(m_admission.tick(now), now));
    append(actions, m_quarantine.tick(now));
    m_shared.upstreams.setServingHosts(static_cast<uint32_t>(m_shared.hostView.load()->hosts.size()));
    m_report.tick(now);
    return m_report.observed(std::move(actions), now);
}

Actions Engine::beginStop(base::TimePoint now)
{
    if (!m_entry.beginStop(now))
        return {};
    return m_control.advance(membership::Lifecycle::Withdrawing, now);
}

}
