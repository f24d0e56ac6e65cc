#include "papayabend/engine/AdmissionPath.h"

#include "papayabend/engine/EntryPath.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <unordered_map>
#include <utility>

namespace papayabend::engine {

namespace {

    constexpr base::Duration exchangeInterval = std::chrono::milliseconds(500);

    bool isOpen(const catalog::Upstream& upstream, routing::UpstreamTable& upstreams)
    {
        return !upstream.isLeaving && !upstreams.state(upstream.id).isDraining.load();
    }

}

double slotsOf(const catalog::Catalog& catalog, const catalog::Service& service, routing::UpstreamTable& upstreams)
{
    if (service.kind == catalog::ServiceKind::Pooled || service.snapshots.empty()) {
        double slots = 0;
        for (auto id : service.pool) {
            const auto* upstream = catalog::findUpstream(catalog, id);
            slots += upstream && isOpen(*upstream, upstreams) ? upstream->slots : 0;
        }
        return slots;
    }
    // A search calls every shard, and a shard's calls are spread over its usable replicas. The upstream with the
    // fewest slots for its part of the calls bounds the service.
    std::unordered_map<uint32_t, double> calls;
    for (const auto& shard : service.snapshots.front().shards) {
        std::vector<const catalog::Upstream*> usable;
        for (auto id : shard.replicas) {
            const auto* upstream = catalog::findUpstream(catalog, id);
            if (upstream && isOpen(*upstream, upstreams))
                usable.push_back(upstream);
        }
        for (const auto* upstream : usable)
            calls[static_cast<uint32_t>(upstream->id)] += 1.0 / static_cast<double>(usable.size());
    }
    double slots = 0;
    for (const auto& [id, part] : calls) {
        auto here = catalog::findUpstream(catalog, catalog::UpstreamId { id })->slots / part;
        slots = slots > 0 ? std::min(slots, here) : here;
    }
    return slots;
}

AdmissionPath::AdmissionPath(
    SharedState& shared, const admission::AdmissionSettings& settings, const admission::QuotaSettings& quotas)
    : m_shared(shared)
    , m_admission(shared.identity.name, settings, quotas)
{
}

PassedRequests AdmissionPath::submitSearch(query::SearchRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto deadline = request.deadline;
    Pending pending { .account = request.account, .service = request.service };
    pending.search = std::move(request);
    return submit(id, std::move(pending), deadline, now);
}

PassedRequests AdmissionPath::submitExecution(
    routing::RequestId id, std::string account, std::string service, base::TimePoint deadline, base::TimePoint now)
{
    return submit(id, { .account = std::move(account), .service = std::move(service) }, deadline, now);
}

PassedRequests AdmissionPath::submit(
    routing::RequestId id, Pending pending, base::TimePoint deadline, base::TimePoint now)
{
    auto account = pending.account;
    auto service = pending.service;
    // Entered first, because another thread may admit the request as soon as it is queued.
    m_pending.insert({ id, std::move(pending) });
    return convert(m_admission.submit(account, service, { id, deadline }, now), now);
}

PassedRequests AdmissionPath::convert(admission::AdmissionStep&& step, base::TimePoint now)
{
    PassedRequests passed;
    for (auto id : step.admitted) {
        decltype(m_pending)::accessor accessor;
        if (!m_pending.find(accessor, id))
            continue;
        auto& pending = accessor->second;
        pending.isAdmitted = true;
        pending.admittedAt = now;
        if (pending.search)
            passed.searches.push_back(std::move(*std::exchange(pending.search, std::nullopt)));
        else
            passed.executions.push_back(id);
    }
    for (auto& refused : step.refused) {
        decltype(m_pending)::accessor accessor;
        if (!m_pending.find(accessor, refused.id))
            continue;
        auto& list = accessor->second.search ? passed.refusedSearches : passed.refusedExecutions;
        m_pending.erase(accessor);
        list.push_back(std::move(refused));
    }
    for (const auto& [service, at] : step.wakes) {
        std::scoped_lock lock(m_timersMutex);
        auto it = std::ranges::find(m_timerServices, service);
        auto n = static_cast<routing::RequestId>(it - m_timerServices.begin());
        if (it == m_timerServices.end())
            m_timerServices.push_back(service);
        passed.actions.emplace_back(SetTimer { queueTimer | n, at });
    }
    return passed;
}

PassedRequests AdmissionPath::ended(routing::RequestId id, base::TimePoint now)
{
    Pending pending;
    {
        decltype(m_pending)::accessor accessor;
        if (!m_pending.find(accessor, id))
            return {};
        pending = std::move(accessor->second);
        m_pending.erase(accessor);
    }
    if (!pending.isAdmitted && m_admission.remove(pending.account, pending.service, id))
        return {};
    auto mean = pending.answers > 0 ? pending.serviceTime / pending.answers : base::Duration::zero();
    return convert(m_admission.release(pending.service, mean, now - pending.admittedAt, now), now);
}

void AdmissionPath::attemptFinished(const routing::AttemptResult& result)
{
    if (!result.load || result.load->serviceTime <= base::Duration::zero())
        return;
    decltype(m_pending)::accessor accessor;
    if (!m_pending.find(accessor, result.request))
        return;
    accessor->second.serviceTime += result.load->serviceTime;
    ++accessor->second.answers;
}

PassedRequests AdmissionPath::queueTimerExpired(routing::RequestId id, base::TimePoint now)
{
    std::string service;
    {
        std::scoped_lock lock(m_timersMutex);
        auto n = id & ~queueTimer;
        if (n >= m_timerServices.size())
            return {};
        service = m_timerServices[n];
    }
    return convert(m_admission.dispatch(service, now), now);
}

std::vector<admission::ServiceGrants> AdmissionPath::grants() const
{
    std::vector<admission::ServiceGrants> services;
    for (size_t n = 0; n < m_table->services.size(); ++n) {
        admission::ServiceGrants grants { m_table->services[n], 0, {} };
        if (const auto* service = catalog::findService(*m_catalog, grants.service))
            grants.slots = slotsOf(*m_catalog, *service, m_shared.upstreams);
        for (const auto& row : m_table->rows) {
            if (n < row.grants.size() && row.grants[n]) {
                const auto& grant = *row.grants[n];
                grants.accounts[row.account]
                    = { grant.weight, grant.limitPerSecond, grant.priority == table::Priority::Bulk };
            }
        }
        services.push_back(std::move(grants));
    }
    return services;
}

PassedRequests AdmissionPath::refresh(base::TimePoint now)
{
    std::scoped_lock lock(m_refreshMutex);
    auto table = m_shared.table.load();
    auto catalog = m_shared.catalog.load();
    if (table == m_table && catalog == m_catalog)
        return {};
    m_table = std::move(table);
    m_catalog = std::move(catalog);
    return convert(m_admission.setGrants(grants(), now), now);
}

Actions AdmissionPath::exchange(base::TimePoint now)
{
    Actions actions;
    auto view = m_shared.hostView.load();
    auto catalog = m_shared.catalog.load();
    // Hosts that serve a service together with this one. A host counts the members of all its serving sets, so its
    // portion of a limit is at most the even one.
    std::set<std::string, std::less<>> members;
    for (const auto& service : catalog->services) {
        m_admission.setSlots(service.name, slotsOf(*catalog, service, m_shared.upstreams));
        auto serving = servingSet(m_shared, service.name);
        if (std::ranges::find(serving, m_shared.identity.name) != serving.end())
            members.insert(serving.begin(), serving.end());
    }
    m_admission.setHosts(members.size());
    m_admission.quotas().setListed(std::vector<std::string>(members.begin(), members.end()), now);
    auto reports = m_admission.takeReports(now);
    const auto* self = membership::findHost(*view, m_shared.identity.name);
    if (!self)
        return actions;
    m_admission.quotas().reportSent(++m_demandSequence, now);
    for (const auto& host : view->hosts) {
        if (host.name == self->name || !members.contains(host.name) || host.peerAddress.empty()
            || host.state == membership::HostState::Gone)
            continue;
        SendPeerMessage send { host.peerAddress, {} };
        send.message.sender = *self;
        send.message.demand = reports;
        send.message.demandSequence = m_demandSequence;
        send.message.countsReceiver = m_admission.quotas().countsPeer(host.name, now);
        auto sequence = m_peerSequences.find(host.name);
        if (sequence != m_peerSequences.end())
            send.message.leases = m_admission.lend(host.name, sequence->second, now);
        actions.emplace_back(std::move(send));
    }
    return actions;
}

PassedRequests AdmissionPath::peerMessage(const PeerMessage& message, base::TimePoint now)
{
    if (message.demandSequence == 0)
        return {};
    std::scoped_lock lock(m_exchangeMutex);
    m_peerSequences[message.sender.name] = message.demandSequence;
    m_admission.applyPeerReports(message.sender.name, message.demand, now);
    m_admission.quotas().announcementReceived(message.sender.name, message.countsReceiver, now);
    m_admission.quotas().receive(message.leases, now);
    return {};
}

PassedRequests AdmissionPath::tick(base::TimePoint now)
{
    auto passed = refresh(now);
    auto append = [&](PassedRequests&& more) {
        std::ranges::move(more.searches, std::back_inserter(passed.searches));
        std::ranges::move(more.executions, std::back_inserter(passed.executions));
        std::ranges::move(more.refusedSearches, std::back_inserter(passed.refusedSearches));
        std::ranges::move(more.refusedExecutions, std::back_inserter(passed.refusedExecutions));
        std::ranges::move(more.actions, std::back_inserter(passed.actions));
    };
    append(convert(m_admission.expireQueued(now), now));
    std::scoped_lock lock(m_exchangeMutex);
    if (m_lastExchange != base::TimePoint {} && now - m_lastExchange < exchangeInterval)
        return passed;
    m_lastExchange = now;
    auto messages = exchange(now);
    std::ranges::move(messages, std::back_inserter(passed.actions));
    append(convert(m_admission.setAllocations(now), now));
    return passed;
}

}
