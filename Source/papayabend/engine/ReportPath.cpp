#include "papayabend/engine/ReportPath.h"

#include <algorithm>
#include <utility>

namespace papayabend::engine {

ReportPath::ReportPath(SharedState& shared)
    : m_shared(shared)
{
}

void ReportPath::requestReceived(routing::RequestId id, std::string account, std::string service, base::TimePoint now)
{
    m_openRequests.insert({ id, OpenRequest { std::move(account), std::move(service), now } });
}

void ReportPath::recordOutcome(routing::RequestId id, report::Outcome outcome, base::TimePoint now)
{
    decltype(m_openRequests)::accessor accessor;
    if (!m_openRequests.find(accessor, id))
        return;
    auto request = std::move(accessor->second);
    m_openRequests.erase(accessor);
    outcome.account = request.account;
    outcome.service = request.service;
    outcome.latency = now - request.received;
    m_recorder.record(outcome);
}

uint32_t ReportPath::neededAttempts(routing::RequestId id, const query::SearchAnswer& answer) const
{
    decltype(m_openRequests)::const_accessor accessor;
    if (!m_openRequests.find(accessor, id))
        return answer.attempts;
    auto catalog = m_shared.catalog.load();
    const auto* service = catalog::findService(*catalog, accessor->second.service);
    if (service) {
        auto it = std::ranges::find(service->snapshots, answer.snapshot, &catalog::Snapshot::id);
        if (it != service->snapshots.end())
            return static_cast<uint32_t>(it->shards.size());
    }
    // The snapshot was removed from the catalogue while the search ran.
    return answer.attempts;
}

Actions ReportPath::recordReplies(Actions actions, base::TimePoint now)
{
    for (const auto& action : actions) {
        if (const auto* search = std::get_if<ReplySearch>(&action)) {
            report::Outcome outcome;
            outcome.coverage = query::coveredShare(search->answer.coverage);
            outcome.attempts = search->answer.attempts;
            outcome.neededAttempts = neededAttempts(search->request, search->answer);
            recordOutcome(search->request, outcome, now);
        } else if (const auto* execution = std::get_if<ReplyExecution>(&action)) {
            report::Outcome outcome;
            outcome.attempts = outcome.neededAttempts = 1;
            recordOutcome(execution->request, outcome, now);
        } else if (const auto* refusal = std::get_if<ReplyRefusal>(&action)) {
            report::Outcome outcome;
            outcome.refusal = refusal->refusal.code;
            recordOutcome(refusal->request, outcome, now);
        }
    }
    return actions;
}

void ReportPath::tick(base::TimePoint now)
{
    auto table = m_shared.table.load();
    if (m_tableVersion.exchange(table->version) != table->version)
        m_recorder.setObjectives(*table);
    m_recorder.tick(now);
}

report::Report ReportPath::report(base::TimePoint now, const report::BurnRecorder::Granted& granted) const
{
    return m_recorder.report(m_shared.identity.name, now, granted);
}

}
