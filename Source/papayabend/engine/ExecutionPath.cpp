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

    // An attempt number consists of the request number and a counter in the low bits, so that it is unique in the
    // process.
    constexpr unsigned attemptCounterBits = 16;

    // Time by which an attempt's deadline exceeds the caller's, so that the outcome can still be received.
    constexpr base::Duration outcomeGrace = std::chrono::seconds(30);

    constexpr size_t maxAttempts = 4;

    uint64_t bodyFingerprint(std::string_view body) { return std::max<uint64_t>(base::hash(body), 1); }

    uint64_t quarantineFingerprint(const execution::ExecutionRequest& request)
    {
        return routing::fingerprintOf(request.account, request.service, request.body);
    }

    Action makeRefusal(routing::RequestId id, RefusalCode code, Verdict verdict, std::string detail,
        std::optional<base::Duration> retryAfter = {})
    {
        return ReplyRefusal { id, { code, verdict, std::move(detail), retryAfter } };
    }

    Action makeUnknownOutcome(routing::RequestId id, std::string detail)
    {
        return makeRefusal(id, RefusalCode::OutcomeUnknown, Verdict::MayHaveRun, std::move(detail));
    }

    Action makeReply(
        routing::RequestId id, const execution::TicketRecord& record, std::optional<base::Duration> retryAfter)
    {
        if (record.verdict == Verdict::Ran)
            return ReplyExecution { id, { toString(record.id), record.body } };
        auto detail = record.verdict == Verdict::NotRun ? "the request has not run and its ticket is closed"
                                                        : "the request was sent and its outcome is unknown";
        return makeRefusal(id, record.code, record.verdict, detail, retryAfter);
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
        return refuse(
            RefusalCode::UnknownService, "service '" + std::string(service) + "' does not exist or is not a pool");
    if (!table::findRow(*table, account))
        return refuse(RefusalCode::UnknownAccount, "account '" + std::string(account) + "' is not in the table");
    if (!table::findGrant(*table, account, service))
        return refuse(RefusalCode::AccessDenied, "the table does not grant the account this service");
    auto id = m_ticketRegistry.issueTicket(account, service, now);
    if (!id)
        return refuse(RefusalCode::Overloaded, "the host issues no more tickets at present", std::chrono::seconds(1));
    return execution::IssuedTicket { toString(*id), m_ticketValidity };
}

std::vector<std::string> ExecutionPath::findTicketHolders(const execution::TicketId& ticket) const
{
    auto view = m_shared.hostView.load();
    auto hosts = execution::successors(*view, ticket, execution::successorsAsked);
    std::erase(hosts, m_shared.identity.name);
    const auto* issuer = membership::findHost(*view, ticket.host);
    bool canAskIssuer = issuer && issuer->incarnation == ticket.incarnation
        && issuer->state != membership::HostState::Gone && issuer->state != membership::HostState::Suspected
        && ticket.host != m_shared.identity.name;
    if (canAskIssuer)
        hosts.insert(hosts.begin(), ticket.host);
    return hosts;
}

ExecutionStep ExecutionPath::start(execution::ExecutionRequest request, base::TimePoint now)
{
    ExecutionStep step;
    auto id = request.id;
    if (request.ticket.empty()) {
        step.actions.push_back(makeRefusal(id, RefusalCode::TicketMissing, Verdict::NotRun, "obtain a ticket first"));
        return step;
    }
    base::LastReason reason;
    auto ticket = execution::parseTicketId(request.ticket, reason);
    if (!ticket) {
        step.actions.push_back(makeRefusal(id, RefusalCode::TicketInvalid, Verdict::NotRun, reason.text));
        return step;
    }
    if (request.kind == execution::ExecutionKind::QueryOutcome)
        return m_ticketRegistry.isOwn(*ticket) || m_ticketRegistry.find(*ticket) ? answerOutcomeQuery(request, *ticket)
                                                                                 : forward(std::move(request), *ticket);
    auto entry = std::make_shared<OpenRequest>();
    entry->ticket = *ticket;
    entry->request = std::move(request);
    entry->random.seed(m_shared.seed ^ id);
    entry->lastAttempt = id << attemptCounterBits;
    // Inserted before the ticket registry refers to the request, so that settle() finds it when the outcome arrives.
    Requests::accessor accessor;
    m_requests.insert(accessor, { id, entry });
    const auto& stored = entry->request;
    auto decision = m_ticketRegistry.beginExecution(
        { *ticket, id, stored.account, stored.service, bodyFingerprint(stored.body) }, now);
    switch (decision.kind) {
    case BeginKind::Start:
        if (m_shared.routing.quarantine.isQuarantined(quarantineFingerprint(stored), now)) {
            settle(accessor, Verdict::NotRun, RefusalCode::Quarantined, {}, now, {}, step);
            // The request has not been submitted to admission.
            step.toRelease.clear();
            return step;
        }
        step.needsAdmission = true;
        break;
    case BeginKind::Wait:
        entry->phase = Phase::AwaitsSameTicket;
        break;
    case BeginKind::Outcome:
        step.actions.push_back(makeReply(id, decision.record, {}));
        m_requests.erase(accessor);
        return step;
    case BeginKind::Refuse:
        step.actions.emplace_back(ReplyRefusal { id, std::move(decision.refusal) });
        m_requests.erase(accessor);
        return step;
    case BeginKind::Elsewhere:
        request = std::move(entry->request);
        m_requests.erase(accessor);
        return forward(std::move(request), *ticket);
    }
    step.actions.emplace_back(SetTimer { id, stored.deadline });
    return step;
}

ExecutionStep ExecutionPath::answerOutcomeQuery(
    const execution::ExecutionRequest& request, const execution::TicketId& ticket)
{
    ExecutionStep step;
    auto record = m_ticketRegistry.find(ticket);
    if (!record) {
        step.actions.push_back(makeUnknownOutcome(request.id, "this host has no record of the ticket"));
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
    auto entry = std::make_shared<OpenRequest>();
    if (!request.isForwarded)
        entry->forwardTargets = findTicketHolders(ticket);
    std::ranges::reverse(entry->forwardTargets);
    entry->ticket = ticket;
    entry->phase = Phase::Forwarded;
    entry->request = std::move(request);
    Requests::accessor accessor;
    m_requests.insert(accessor, { id, entry });
    step.actions.emplace_back(SetTimer { id, entry->request.deadline });
    if (forwardNext(*entry, step.actions))
        return step;
    m_requests.erase(accessor);
    // An earlier copy of the request may have reached the issuing host, so the verdict must not be NotRun.
    step.actions = { makeUnknownOutcome(id, "host " + ticket.host + ", which issued the ticket, cannot be asked") };
    return step;
}

bool ExecutionPath::forwardNext(OpenRequest& entry, Actions& actions)
{
    if (entry.forwardTargets.empty())
        return false;
    auto host = std::move(entry.forwardTargets.back());
    entry.forwardTargets.pop_back();
    auto request = entry.request;
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
    auto& entry = *accessor->second;
    if (auto* answer = std::get_if<execution::ExecutionAnswer>(&reply)) {
        step.actions.emplace_back(ReplyExecution { id, std::move(*answer) });
    } else if (auto* outcome = std::get_if<execution::OutcomeAnswer>(&reply)) {
        step.actions.emplace_back(ReplyOutcome { id, std::move(*outcome) });
    } else {
        auto& refused = std::get<base::Refusal>(reply);
        // The next host may hold the record. A ticket runs at most once, so asking another host is safe.
        if (refused.code == RefusalCode::OutcomeUnknown && now < entry.request.deadline
            && forwardNext(entry, step.actions))
            return step;
        step.actions.emplace_back(ReplyRefusal { id, std::move(refused) });
    }
    m_requests.erase(accessor);
    return step;
}

bool ExecutionPath::send(OpenRequest& entry, base::TimePoint now, Actions& actions)
{
    auto catalog = m_shared.catalog.load();
    const auto& request = entry.request;
    const auto* service = catalog::findService(*catalog, request.service);
    if (!service || service->kind != catalog::ServiceKind::Pooled || now >= request.deadline)
        return false;
    auto chosen = routing::chooseReplica(m_shared.upstreams, *catalog, service->pool, entry.tried, entry.random, now);
    if (!chosen || !m_ticketRegistry.markSent(entry.ticket))
        return false;
    routing::Attempt attempt;
    attempt.id = ++entry.lastAttempt;
    attempt.request = request.id;
    attempt.upstream = *chosen;
    attempt.address = catalog::findUpstream(*catalog, *chosen)->address;
    attempt.service = request.service;
    attempt.body = request.body;
    attempt.deadline = request.deadline + outcomeGrace;
    attempt.isExecution = true;
    routing::attemptStarted(m_shared.upstreams, attempt, now);
    entry.tried.push_back(*chosen);
    entry.openAttempt = attempt.id;
    entry.phase = Phase::InFlight;
    actions.emplace_back(SendAttempt { std::move(attempt) });
    return true;
}

void ExecutionPath::settle(Requests::accessor& accessor, Verdict verdict, RefusalCode code, std::string body,
    base::TimePoint now, std::optional<base::Duration> retryAfter, ExecutionStep& step)
{
    auto id = accessor->first;
    auto entry = accessor->second;
    m_requests.erase(accessor);
    auto settlement = m_ticketRegistry.settle(entry->ticket, verdict, code, std::move(body), now);
    step.toRelease.push_back(id);
    if (!entry->isCallerAnswered)
        step.actions.push_back(makeReply(id, settlement.record, retryAfter));
    for (auto waiting : settlement.waiting) {
        Requests::accessor other;
        if (!m_requests.find(other, waiting))
            continue;
        m_requests.erase(other);
        step.actions.push_back(makeReply(waiting, settlement.record, retryAfter));
    }
}

ExecutionStep ExecutionPath::admitted(routing::RequestId id, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, id) || accessor->second->phase != Phase::Queued) {
        step.toRelease.push_back(id);
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
    // The caller releases the admission of an admitted request.
    step.toRelease.clear();
    return step;
}

ExecutionStep ExecutionPath::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, result.request) || accessor->second->openAttempt != result.attempt)
        return step;
    auto& entry = *accessor->second;
    entry.openAttempt = 0;
    auto verdict = routing::verdictOf(result.status);
    m_ticketRegistry.attemptFinished(entry.ticket, verdict);
    if (result.status == routing::AttemptStatus::ConnectionLost)
        reportCrash(entry.request, result.upstream, now);
    else if (verdict == Verdict::Ran)
        m_shared.routing.quarantine.succeeded(quarantineFingerprint(entry.request), 0, 0, now);
    if (verdict == Verdict::NotRun) {
        if (entry.tried.size() < maxAttempts && send(entry, now, step.actions))
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
    // The fingerprint does not contain the ticket, so that crashes count even if the caller obtains another ticket for
    // the same content.
    routing::Crash crash { base::hash(m_shared.upstreamNames.name(upstream)), 0 };
    auto notice = m_shared.routing.quarantine.crashed(quarantineFingerprint(request), crash, false, now);
    m_shared.quarantineNotices.push({ request.service, notice });
}

ExecutionStep ExecutionPath::timerExpired(routing::RequestId id, base::TimePoint now)
{
    ExecutionStep step;
    Requests::accessor accessor;
    if (!m_requests.find(accessor, id) || now < accessor->second->request.deadline)
        return step;
    auto entry = accessor->second;
    if (entry->phase == Phase::Queued) {
        settle(accessor, Verdict::NotRun, RefusalCode::DeadlineExceeded, {}, now, {}, step);
        return step;
    }
    if (entry->isCallerAnswered)
        return step;
    step.actions.push_back(makeUnknownOutcome(id, "the deadline passed before the outcome was known"));
    if (entry->phase == Phase::InFlight) {
        entry->isCallerAnswered = true;
        return step;
    }
    m_requests.erase(accessor);
    m_ticketRegistry.stopWaiting(entry->ticket, id);
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
