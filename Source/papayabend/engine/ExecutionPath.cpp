#include "papayabend/engine/ExecutionPath.h"

#include "papayabend/base/Hash.h"
#include "papayabend/execution/HandOver.h"

#include <algorithm>
#include <utility>

namespace papayabend::engine {

namespace {

    using base::RefusalCode;
    using base::Verdict;
    using execution::BeginKind;

    // Attempt numbers are the request number followed by a counter, so that they are unique in the process.
    constexpr unsigned attemptCounterBits = 16;

    // An attempt outlives the caller's deadline by this time, so that the outcome can still be learned.
    constexpr base::Duration outcomeGrace = std::chrono::seconds(30);

    constexpr size_t maxAttempts = 4;

    uint64_t fingerprintOf(std::string_view body) { return std::max<uint64_t>(base::hash(body), 1); }

    uint64_t quarantineKey(const execution::ExecutionRequest& request)
    {
        return routing::fingerprintOf(request.account, request.service, request.body);
    }

    Action refusal(routing::RequestId id, RefusalCode code, Verdict verdict, std::string detail,
        std::optional<base::Duration> retryAfter = {})
    {
        return ReplyRefusal { id, { code, verdict, std::move(detail), retryAfter } };
    }

    Action unknownOutcome(routing::RequestId id, std::string detail)
    {
        return refusal(id, RefusalCode::OutcomeUnknown, Verdict::MayHaveRun, std::move(detail));
    }

    Action replyOf(
        routing::RequestId id, const execution::TicketRecord& record, std::optional<base::Duration> retryAfter)
    {
        if (record.verdict == Verdict::Ran)
            return ReplyExecution { id, { toString(record.id), record.body } };
        auto detail = record.verdict == Verdict::NotRun ? "the request has not run and its ticket is closed"
                                                        : "the request was sent and its outcome is unknown";
        return refusal(id, record.code, record.verdict, detail, retryAfter);
    }

}

ExecutionPath::ExecutionPath(SharedState& shared, const execution::TicketSettings& settings)
    : m_shared(shared)
    , m_ticketRegistry(shared.identity.name, shared.identity.incarnation, settings)
    , m_ticketValidity(settings.validity)
{
}

std::variant<execution::IssuedTicket, base::Refusal> ExecutionPath::issueTicket(
    std::string_view account, std::string_view service, base::TimePoint now)
{
    auto refuse = [](RefusalCode code, std::string detail, std::optional<base::Duration> retryAfter = {}) {
        return base::Refusal { code, Verdict::NotRun, std::move(detail), retryAfter };
    };
    auto table = m_shared.table.load();
    auto catalog = m_shared.catalog.load();
    const auto* known = catalog::findService(*catalog, service);
    if (!known || known->kind != catalog::ServiceKind::Pooled)
        return refuse(RefusalCode::UnknownService, "no pooled service " + std::string(service));
    if (!table::findRow(*table, account))
        return refuse(RefusalCode::UnknownAccount, "the table names no account " + std::string(account));
    if (!table::findGrant(*table, account, service))
        return refuse(RefusalCode::AccessDenied, "the table gives no access");
    auto id = m_ticketRegistry.issueTicket(account, service, now);
    if (!id)
        return refuse(RefusalCode::Overloaded, "the host keeps no more tickets", std::chrono::seconds(1));
    return execution::IssuedTicket { toString(*id), m_ticketValidity };
}

std::vector<std::string> ExecutionPath::locate(const execution::TicketId& ticket) const
{
    auto view = m_shared.hostView.load();
    auto hosts = execution::successors(*view, ticket, execution::successorsAsked);
    std::erase(hosts, m_shared.identity.name);
    const auto* issuer = membership::findHost(*view, ticket.host);
    bool canAsk = issuer && issuer->incarnation == ticket.incarnation && issuer->state != membership::HostState::Gone
        && issuer->state != membership::HostState::Suspected && ticket.host != m_shared.identity.name;
    if (canAsk)
        hosts.insert(hosts.begin(), ticket.host);
    return hosts;
}

ExecutionStep ExecutionPath::start(execution::ExecutionRequest request, base::TimePoint now)
{
    ExecutionStep step;
    auto id = request.id;
    if (request.ticket.empty()) {
        step.actions.push_back(refusal(id, RefusalCode::TicketMissing, Verdict::NotRun, "obtain a ticket first"));
        return step;
    }
    base::LastReason reason;
    auto ticket = execution::parseTicketId(request.ticket, reason);
    if (!ticket) {
        step.actions.push_back(refusal(id, RefusalCode::TicketInvalid, Verdict::NotRun, reason.text));
        return step;
    }
    if (request.kind == execution::ExecutionKind::QueryOutcome)
        return m_ticketRegistry.isOwn(*ticket) || m_ticketRegistry.find(*ticket) ? answerQuery(request, *ticket)
                                                                                 : forward(std::move(request), *ticket);
    auto running = std::make_shared<Running>();
    running->ticket = *ticket;
    running->request = std::move(request);
    running->random.seed(m_shared.seed ^ id);
    running->lastAttempt = id << attemptCounterBits;
    // The entry exists before the registry names the request, so that an outcome finds it.
    Requests::accessor accessor;
    m_requests.insert(accessor, { id, running });
    const auto& held = running->request;
    auto begun
        = m_ticketRegistry.beginExecution({ *ticket, id, held.account, held.service, fingerprintOf(held.body) }, now);
    switch (begun.kind) {
    case BeginKind::Start:
        if (m_shared.routing.quarantine.isQuarantined(quarantineKey(held), now)) {
            settle(accessor, Verdict::NotRun, RefusalCode::Quarantined, {}, now, {}, step);
            step.ended.clear();
            return step;
        }
        step.wantsAdmission = true;
        break;
    case BeginKind::Wait:
        running->phase = Phase::WaitsForOther;
        break;
    case BeginKind::Outcome:
        step.actions.push_back(replyOf(id, begun.record, {}));
        m_requests.erase(accessor);
        return step;
    case BeginKind::Refuse:
        step.actions.emplace_back(ReplyRefusal { id, std::move(begun.refusal) });
        m_requests.erase(accessor);
        return step;
    case BeginKind::Elsewhere:
        request = std::move(running->request);
        m_requests.erase(accessor);
        return forward(std::move(request), *ticket);
    }
    step.actions.emplace_back(SetTimer { id, held.deadline });
    return step;
}

ExecutionStep ExecutionPath::answerQuery(const execution::ExecutionRequest& request, const execution::TicketId& ticket)
{
    ExecutionStep step;
    auto record = m_ticketRegistry.find(ticket);
    if (!record) {
        step.actions.push_back(unknownOutcome(request.id, "this host has no record of the ticket"));
        return step;
    }
    execution::OutcomeAnswer answer { request.ticket, record->state, record->verdict, record->body };
    if (record->state == execution::TicketState::Unused)
        answer.verdict.reset();
    if (record->state == execution::TicketState::Sent)
        answer.verdict = Verdict::MayHaveRun;
    step.actions.emplace_back(ReplyOutcome { request.id, std::move(answer) });
    return step;
}

ExecutionStep ExecutionPath::forward(execution::ExecutionRequest request, const execution::TicketId& ticket)
{
    ExecutionStep step;
    auto id = request.id;
    auto running = std::make_shared<Running>();
    if (!request.isForwarded)
        running->forwardTargets = locate(ticket);
    std::ranges::reverse(running->forwardTargets);
    running->ticket = ticket;
    running->phase = Phase::Forwarded;
    running->request = std::move(request);
    Requests::accessor accessor;
    m_requests.insert(accessor, { id, running });
    step.actions.emplace_back(SetTimer { id, running->request.deadline });
    if (forwardNext(*running, step.actions))
        return step;
    m_requests.erase(accessor);
    // An earlier copy of the request may have reached the issuing host, so "not run" would not be true.
    step.actions = { unknownOutcome(id, "host " + ticket.host + ", which issued the ticket, cannot be asked") };
    return step;
}

bool ExecutionPath::forwardNext(Running& running, Actions& actions)
{
    if (running.forwardTargets.empty())
        return false;
    auto host = std::move(running.forwardTargets.back());
    running.forwardTargets.pop_back();
    auto request = running.request;
    request.isForwarded = true;
    actions.emplace_back(ForwardExecution { std::move(host), std::move(request) });
    return true;
}

ExecutionStep ExecutionPath::forwardFinished(routing::RequestId id, execution::ForwardReply reply, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, id) || accessor->second->phase != Phase::Forwarded)
        return step;
    auto& running = *accessor->second;
    if (auto* answer = std::get_if<execution::ExecutionAnswer>(&reply)) {
        step.actions.emplace_back(ReplyExecution { id, std::move(*answer) });
    } else if (auto* outcome = std::get_if<execution::OutcomeAnswer>(&reply)) {
        step.actions.emplace_back(ReplyOutcome { id, std::move(*outcome) });
    } else {
        auto& refused = std::get<base::Refusal>(reply);
        // The next host may hold the record; every host answers by ticket, so asking again runs nothing twice.
        if (refused.code == RefusalCode::OutcomeUnknown && now < running.request.deadline
            && forwardNext(running, step.actions))
            return step;
        step.actions.emplace_back(ReplyRefusal { id, std::move(refused) });
    }
    m_requests.erase(accessor);
    return step;
}

bool ExecutionPath::send(Running& running, base::TimePoint now, Actions& actions)
{
    auto catalog = m_shared.catalog.load();
    const auto& request = running.request;
    const auto* service = catalog::findService(*catalog, request.service);
    if (!service || service->kind != catalog::ServiceKind::Pooled || now >= request.deadline)
        return false;
    auto chosen
        = routing::chooseReplica(m_shared.upstreams, *catalog, service->pool, running.tried, running.random, now);
    if (!chosen || !m_ticketRegistry.markSent(running.ticket))
        return false;
    routing::Attempt attempt;
    attempt.id = ++running.lastAttempt;
    attempt.request = request.id;
    attempt.upstream = *chosen;
    attempt.address = catalog::findUpstream(*catalog, *chosen)->address;
    attempt.service = request.service;
    attempt.body = request.body;
    attempt.deadline = request.deadline + outcomeGrace;
    attempt.isExecution = true;
    routing::attemptStarted(m_shared.upstreams, attempt, now);
    running.tried.push_back(*chosen);
    running.openAttempt = attempt.id;
    running.phase = Phase::InFlight;
    actions.emplace_back(SendAttempt { std::move(attempt) });
    return true;
}

void ExecutionPath::settle(Requests::accessor& accessor, Verdict verdict, RefusalCode code, std::string body,
    base::TimePoint now, std::optional<base::Duration> retryAfter, ExecutionStep& step)
{
    auto id = accessor->first;
    auto running = accessor->second;
    m_requests.erase(accessor);
    auto settlement = m_ticketRegistry.settle(running->ticket, verdict, code, std::move(body), now);
    step.ended.push_back(id);
    if (!running->isCallerAnswered)
        step.actions.push_back(replyOf(id, settlement.record, retryAfter));
    for (auto waiting : settlement.waiting) {
        Requests::accessor other;
        if (!m_requests.find(other, waiting))
            continue;
        m_requests.erase(other);
        step.actions.push_back(replyOf(waiting, settlement.record, retryAfter));
    }
}

ExecutionStep ExecutionPath::admitted(routing::RequestId id, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, id) || accessor->second->phase != Phase::Queued) {
        step.ended.push_back(id);
        return step;
    }
    auto isLate = now >= accessor->second->request.deadline;
    if (!send(*accessor->second, now, step.actions))
        settle(accessor, Verdict::NotRun, isLate ? RefusalCode::DeadlineExceeded : RefusalCode::NoUpstream, {}, now, {},
            step);
    return step;
}

ExecutionStep ExecutionPath::refused(routing::RequestId id, const base::Refusal& reason, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (m_requests.find(accessor, id) && accessor->second->phase == Phase::Queued)
        settle(accessor, Verdict::NotRun, reason.code, {}, now, reason.retryAfter, step);
    step.ended.clear();
    return step;
}

ExecutionStep ExecutionPath::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, result.request) || accessor->second->openAttempt != result.attempt)
        return step;
    auto& running = *accessor->second;
    running.openAttempt = 0;
    auto verdict = routing::verdictOf(result.status);
    m_ticketRegistry.attemptFinished(running.ticket, verdict);
    if (result.status == routing::AttemptStatus::ConnectionLost)
        reportCrash(running.request, result.upstream, now);
    else if (verdict == Verdict::Ran)
        m_shared.routing.quarantine.succeeded(quarantineKey(running.request), 0, 0, now);
    if (verdict == Verdict::NotRun) {
        if (running.tried.size() < maxAttempts && send(running, now, step.actions))
            return step;
        settle(accessor, Verdict::NotRun, RefusalCode::Overloaded, {}, now, std::chrono::seconds(1), step);
    } else if (verdict == Verdict::Ran) {
        settle(accessor, Verdict::Ran, RefusalCode::OutcomeUnknown, result.body, now, {}, step);
    } else {
        settle(accessor, Verdict::MayHaveRun, RefusalCode::OutcomeUnknown, {}, now, {}, step);
    }
    return step;
}

void ExecutionPath::reportCrash(
    const execution::ExecutionRequest& request, catalog::UpstreamId upstream, base::TimePoint now)
{
    // A crash counts against the request even if its caller obtains another ticket for the same content.
    routing::Crash crash { base::hash(m_shared.upstreamNames.name(upstream)), 0 };
    auto notice = m_shared.routing.quarantine.crashed(quarantineKey(request), crash, false, now);
    m_shared.quarantineNotices.push({ request.service, notice });
}

ExecutionStep ExecutionPath::timerExpired(routing::RequestId id, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, id) || now < accessor->second->request.deadline)
        return step;
    auto running = accessor->second;
    if (running->phase == Phase::Queued) {
        settle(accessor, Verdict::NotRun, RefusalCode::DeadlineExceeded, {}, now, {}, step);
        return step;
    }
    if (running->isCallerAnswered)
        return step;
    step.actions.push_back(unknownOutcome(id, "the deadline passed before the outcome was known"));
    if (running->phase == Phase::InFlight) {
        running->isCallerAnswered = true;
        return step;
    }
    m_requests.erase(accessor);
    m_ticketRegistry.stopWaiting(running->ticket, id);
    return step;
}

void ExecutionPath::beginHandOver(base::TimePoint now)
{
    auto view = m_shared.hostView.load();
    const auto& identity = m_shared.identity;
    auto targets = execution::successors(*view, { identity.name, identity.incarnation, 0 }, execution::successorCount);
    auto records = m_ticketRegistry.exportRecords(now);
    std::scoped_lock lock(m_handOverMutex);
    m_handOver = execution::beginHandOver(std::move(records), targets, now);
}

Actions ExecutionPath::handOver(base::TimePoint now)
{
    Actions actions;
    std::scoped_lock lock(m_handOverMutex);
    if (!m_handOver)
        return actions;
    auto view = m_shared.hostView.load();
    const auto* self = membership::findHost(*view, m_shared.identity.name);
    for (auto& batch : execution::batchesToSend(*m_handOver, now)) {
        const auto* target = membership::findHost(*view, batch.target);
        if (!target || !self)
            continue;
        SendPeerMessage send { target->peerAddress, {} };
        send.message.sender = *self;
        send.message.handOver = batch.number;
        send.message.ticketRecords = std::move(batch.records);
        actions.emplace_back(std::move(send));
    }
    return actions;
}

bool ExecutionPath::isHandedOver(base::TimePoint now)
{
    std::scoped_lock lock(m_handOverMutex);
    return m_handOver && execution::isComplete(*m_handOver, now);
}

Actions ExecutionPath::peerMessage(const PeerMessage& message, base::TimePoint now)
{
    Actions actions;
    if (message.handOver != 0) {
        m_ticketRegistry.importRecords(message.ticketRecords, now);
        SendPeerMessage send { message.sender.peerAddress, {} };
        send.message.sender.name = m_shared.identity.name;
        send.message.handOverAck = message.handOver;
        actions.emplace_back(std::move(send));
    }
    std::scoped_lock lock(m_handOverMutex);
    if (message.handOverAck != 0 && m_handOver)
        execution::acknowledged(*m_handOver, message.sender.name, message.handOverAck);
    return actions;
}

}
