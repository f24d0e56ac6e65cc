#include "papayabend/execution/TicketRegistry.h"

namespace papayabend::execution {

namespace {

    using base::RefusalCode;
    using base::Verdict;

    // A caller that resends more often than this gets an answer at once instead of one more waiting request.
    constexpr size_t maxWaiting = 32;

    bool hasEnded(const TicketRecord& record)
    {
        return record.state == TicketState::Finished || record.state == TicketState::Closed;
    }

    BeginResult refuse(RefusalCode code, Verdict verdict, std::string detail)
    {
        return { BeginKind::Refuse, {}, { code, verdict, std::move(detail), {} } };
    }

    /** Returns a refusal if the request is not the one that the ticket was issued or used for. */
    std::optional<BeginResult> checkMatch(const TicketRecord& record, const BeginRequest& request)
    {
        if (record.account != request.account || record.service != request.service)
            return refuse(RefusalCode::TicketInvalid, Verdict::NotRun, "ticket of another client account or service");
        if (record.fingerprint != 0 && record.fingerprint != request.fingerprint)
            return refuse(RefusalCode::TicketInvalid, Verdict::NotRun, "ticket was used for another request body");
        return std::nullopt;
    }

}

TicketRegistry::TicketRegistry(std::string host, uint64_t incarnation, const TicketSettings& settings)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

std::optional<TicketId> TicketRegistry::issueTicket(
    std::string_view account, std::string_view service, base::TimePoint now)
{
    if (m_records.fetch_add(1) >= m_settings.maxRecords || m_answerBytes.load() >= m_settings.maxAnswerBytes) {
        m_records.fetch_sub(1);
        return std::nullopt;
    }
    TicketId id { m_host, m_incarnation, ++m_lastSequence };
    auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    // Checked under the lock, so that exportRecords() sees every ticket that was issued.
    if (m_isFrozen.load()) {
        m_records.fetch_sub(1);
        return std::nullopt;
    }
    Entry entry;
    entry.record.id = id;
    entry.record.account = account;
    entry.record.service = service;
    entry.validUntil = now + m_settings.validity;
    part.entries.emplace(id.sequence, std::move(entry));
    part.validity.emplace_back(now + m_settings.validity, id.sequence);
    return id;
}

BeginResult TicketRegistry::beginExecution(const BeginRequest& request, base::TimePoint now)
{
    return isOwn(request.ticket) ? beginOwn(request, now) : beginImported(request);
}

BeginResult TicketRegistry::beginOwn(const BeginRequest& request, base::TimePoint now)
{
    auto& part = stripe(request.ticket);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(request.ticket.sequence);
    if (it == part.entries.end()) {
        if (request.ticket.sequence > m_lastSequence.load())
            return refuse(RefusalCode::TicketInvalid, Verdict::NotRun, "ticket was never issued");
        return refuse(RefusalCode::OutcomeUnknown, Verdict::MayHaveRun, "the record of the ticket has expired");
    }
    auto& entry = it->second;
    if (auto mismatch = checkMatch(entry.record, request))
        return *mismatch;
    if (hasEnded(entry.record))
        return { BeginKind::Outcome, entry.record, {} };
    if (entry.isHeld) {
        if (entry.waiting.size() >= maxWaiting)
            return refuse(RefusalCode::OutcomeUnknown, Verdict::MayHaveRun, "too many requests wait for the ticket");
        entry.waiting.push_back(request.request);
        return { BeginKind::Wait, {}, {} };
    }
    entry.isHeld = true;
    entry.record.fingerprint = request.fingerprint;
    m_openRequests.fetch_add(1);
    // The validity may have passed before expire() was called.
    if (entry.validUntil <= now) {
        close(part, entry, Verdict::NotRun, RefusalCode::TicketExpired, TicketState::Closed, now);
        return { BeginKind::Outcome, entry.record, {} };
    }
    return { BeginKind::Start, {}, {} };
}

BeginResult TicketRegistry::beginImported(const BeginRequest& request) const
{
    auto record = findImported(request.ticket);
    if (!record)
        return { BeginKind::Elsewhere, {}, {} };
    if (auto mismatch = checkMatch(*record, request))
        return *mismatch;
    return { BeginKind::Outcome, *record, {} };
}

bool TicketRegistry::markSent(const TicketId& id)
{
    auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(id.sequence);
    if (!isOwn(id) || it == part.entries.end())
        return false;
    auto& entry = it->second;
    if (!entry.isHeld || entry.isAttemptOpen || hasEnded(entry.record) || entry.record.verdict != Verdict::NotRun)
        return false;
    entry.record.state = TicketState::Sent;
    entry.isAttemptOpen = true;
    return true;
}

void TicketRegistry::attemptFinished(const TicketId& id, Verdict verdict)
{
    auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(id.sequence);
    if (!isOwn(id) || it == part.entries.end() || !it->second.isAttemptOpen)
        return;
    it->second.isAttemptOpen = false;
    it->second.record.verdict = base::combine(it->second.record.verdict, verdict);
}

void TicketRegistry::close(
    Stripe& part, Entry& entry, Verdict verdict, RefusalCode code, TicketState state, base::TimePoint now)
{
    if (entry.isHeld)
        m_openRequests.fetch_sub(1);
    entry.isHeld = false;
    entry.record.state = state;
    entry.record.verdict = verdict;
    entry.record.code = code;
    part.retention.emplace_back(now + m_settings.retention, entry.record.id.sequence);
}

Settlement TicketRegistry::settle(
    const TicketId& id, Verdict verdict, RefusalCode code, std::string body, base::TimePoint now)
{
    auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(id.sequence);
    if (!isOwn(id) || it == part.entries.end()) {
        Settlement unknown;
        unknown.record.id = id;
        unknown.record.verdict = Verdict::MayHaveRun;
        return unknown;
    }
    auto& entry = it->second;
    bool contradicts = verdict == Verdict::NotRun && (entry.isAttemptOpen || entry.record.verdict != Verdict::NotRun);
    if (hasEnded(entry.record) || contradicts)
        return { false, entry.record, hasEnded(entry.record) ? std::exchange(entry.waiting, {}) : Waiting {} };
    auto state = entry.record.state == TicketState::Unused ? TicketState::Closed : TicketState::Finished;
    m_answerBytes.fetch_add(body.size());
    entry.record.body = std::move(body);
    entry.isAttemptOpen = false;
    close(part, entry, verdict, code, state, now);
    return { true, entry.record, std::exchange(entry.waiting, {}) };
}

void TicketRegistry::stopWaiting(const TicketId& id, routing::RequestId request)
{
    auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(id.sequence);
    if (isOwn(id) && it != part.entries.end())
        std::erase(it->second.waiting, request);
}

std::optional<TicketRecord> TicketRegistry::find(const TicketId& id) const
{
    if (!isOwn(id))
        return findImported(id);
    const auto& part = stripe(id);
    std::scoped_lock lock(part.mutex);
    auto it = part.entries.find(id.sequence);
    if (it == part.entries.end())
        return std::nullopt;
    return it->second.record;
}

std::optional<TicketRecord> TicketRegistry::findImported(const TicketId& id) const
{
    std::scoped_lock lock(m_importedMutex);
    auto it = m_imported.find(toString(id));
    if (it == m_imported.end())
        return std::nullopt;
    return it->second.record;
}

void TicketRegistry::expire(base::TimePoint now)
{
    for (auto& part : m_stripes) {
        std::scoped_lock lock(part.mutex);
        while (!part.validity.empty() && part.validity.front().first <= now) {
            auto it = part.entries.find(part.validity.front().second);
            part.validity.pop_front();
            if (it != part.entries.end() && it->second.record.state == TicketState::Unused && !it->second.isHeld)
                close(part, it->second, Verdict::NotRun, RefusalCode::TicketExpired, TicketState::Closed, now);
        }
        while (!part.retention.empty() && part.retention.front().first <= now) {
            auto it = part.entries.find(part.retention.front().second);
            part.retention.pop_front();
            m_answerBytes.fetch_sub(it->second.record.body.size());
            part.entries.erase(it);
            m_records.fetch_sub(1);
        }
    }
    std::scoped_lock lock(m_importedMutex);
    while (!m_importedDeadlines.empty() && m_importedDeadlines.front().first <= now) {
        auto it = m_imported.find(m_importedDeadlines.front().second);
        m_importedDeadlines.pop_front();
        if (it != m_imported.end() && it->second.until <= now)
            m_imported.erase(it);
    }
}

std::vector<TicketRecord> TicketRegistry::exportRecords(base::TimePoint now)
{
    freeze();
    std::vector<TicketRecord> records;
    for (auto& part : m_stripes) {
        std::scoped_lock lock(part.mutex);
        for (auto& [sequence, entry] : part.entries) {
            if (entry.record.state == TicketState::Unused)
                close(part, entry, Verdict::NotRun, RefusalCode::Stopping, TicketState::Closed, now);
            records.push_back(entry.record);
        }
    }
    return records;
}

void TicketRegistry::importRecords(std::span<const TicketRecord> records, base::TimePoint now)
{
    std::scoped_lock lock(m_importedMutex);
    for (const auto& record : records) {
        auto key = toString(record.id);
        if (isOwn(record.id) || (m_imported.size() >= m_settings.maxRecords && !m_imported.contains(key)))
            continue;
        auto& imported = m_imported[key];
        bool isKnown = !imported.record.id.host.empty();
        if (isKnown && (hasEnded(imported.record) || !hasEnded(record)))
            continue;
        imported = { record, now + m_settings.retention };
        // The issuing process has ended: what it never sent cannot run, and what it left open is unknown.
        if (record.state == TicketState::Unused)
            imported.record.state = TicketState::Closed;
        if (record.state == TicketState::Sent)
            imported.record.verdict = base::combine(record.verdict, Verdict::MayHaveRun);
        m_importedDeadlines.emplace_back(imported.until, std::move(key));
    }
}

}
