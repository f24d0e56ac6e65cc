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

    bool isUsable(const catalog::Upstream& upstream, routing::UpstreamTable& upstreams)
    {
        return !upstream.isLeaving && !upstreams.state(upstream.id).isDraining.load();
    }

}

double usableSlots(const catalog::Catalog& catalog, const catalog::Service& service, routing::UpstreamTable& upstreams)
{
    if (service.kind == catalog::ServiceKind::Pooled || service.snapshots.empty()) {
        double slots = 0;
        for (auto id : service.pool) {
            const auto* upstream = catalog::findUpstream(catalog, id);
            slots += upstream && isUsable(*upstream, upstreams) ? upstream->slots : 0;
        }
        return slots;
    }
    // A search calls every shard, and the calls to a shard are spread evenly over its usable replicas. The upstream
    // with the fewest slots per expected call limits the service.
    std::unordered_map<uint32_t, double> callsPerSearch;
    for (const auto& shard : service.snapshots.front().shards) {
        std::vector<const catalog::Upstream*> usable;
        for (auto id : shard.replicas) {
            const auto* upstream = catalog::findUpstream(catalog, id);
            if (upstream && isUsable(*upstream, upstreams))
                usable.push_back(upstream);
        }
        for (const auto* upstream : usable)
            callsPerSearch[static_cast<uint32_t>(upstream->id)] += 1.0 / static_cast<double>(usable.size());
    }
    double slots = 0;
    for (const auto& [id, calls] : callsPerSearch) {
        auto searches = catalog::findUpstream(catalog, catalog::UpstreamId { id })->slots / calls;
        slots = slots > 0 ? std::min(slots, searches) : searches;
    }
    return slots;
}

AdmissionPath::AdmissionPath(
    SharedState& shared, const admission::AdmissionSettings& settings, const admission::QuotaSettings& quotas)
    : m_shared(shared)
    , m_admission(shared.identity.name, settings, quotas)
{
}

AdmissionDecisions AdmissionPath::submitSearch(query::SearchRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto deadline = request.deadline;
    OpenRequest openRequest { .account = request.account, .service = request.service };
    openRequest.search = std::move(request);
    return submit(id, std::move(openRequest), deadline, now);
}

AdmissionDecisions AdmissionPath::submitExecution(
    routing::RequestId id, std::string account, std::string service, base::TimePoint deadline, base::TimePoint now)
{
    return submit(id, { .account = std::move(account), .service = std::move(service) }, deadline, now);
}

AdmissionDecisions AdmissionPath::submit(
    routing::RequestId id, OpenRequest request, base::TimePoint deadline, base::TimePoint now)
{
    auto account = request.account;
    auto service = request.service;
    // Inserted first, because another thread may admit the request as soon as it is queued.
    m_openRequests.insert({ id, std::move(request) });
    return applyStep(m_admission.submit(account, service, { id, deadline }, now), now);
}

AdmissionDecisions AdmissionPath::applyStep(admission::AdmissionStep&& step, base::TimePoint now)
{
    AdmissionDecisions decisions;
    for (auto id : step.admitted) {
        decltype(m_openRequests)::accessor accessor;
        if (!m_openRequests.find(accessor, id))
            continue;
        auto& request = accessor->second;
        request.isAdmitted = true;
        request.admittedAt = now;
        if (request.search)
            decisions.admittedSearches.push_back(std::move(*std::exchange(request.search, std::nullopt)));
        else
            decisions.admittedExecutions.push_back(id);
    }
    for (auto& refused : step.refused) {
        decltype(m_openRequests)::accessor accessor;
        if (!m_openRequests.find(accessor, refused.id))
            continue;
        auto& list = accessor->second.search ? decisions.refusedSearches : decisions.refusedExecutions;
        m_openRequests.erase(accessor);
        list.push_back(std::move(refused));
    }
    for (const auto& [service, at] : step.wakes) {
        std::scoped_lock lock(m_queueTimersMutex);
        auto it = std::ranges::find(m_queueTimerServices, service);
        auto n = static_cast<routing::RequestId>(it - m_queueTimerServices.begin());
        if (it == m_queueTimerServices.end())
            m_queueTimerServices.push_back(service);
        decisions.actions.emplace_back(SetTimer { queueTimerFlag | n, at });
    }
    return decisions;
}

AdmissionDecisions AdmissionPath::requestEnded(routing::RequestId id, base::TimePoint now)
{
    OpenRequest request;
    {
        decltype(m_openRequests)::accessor accessor;
        if (!m_openRequests.find(accessor, id))
            return {};
        request = std::move(accessor->second);
        m_openRequests.erase(accessor);
    }
    if (!request.isAdmitted && m_admission.remove(request.account, request.service, id))
        return {};
    auto meanServiceTime
        = request.serviceTimeCount > 0 ? request.serviceTimeSum / request.serviceTimeCount : base::Duration::zero();
    return applyStep(m_admission.release(request.service, meanServiceTime, now - request.admittedAt, now), now);
}

void AdmissionPath::attemptFinished(const routing::AttemptResult& result)
{
    if (!result.load || result.load->serviceTime <= base::Duration::zero())
        return;
    decltype(m_openRequests)::accessor accessor;
    if (!m_openRequests.find(accessor, result.request))
        return;
    accessor->second.serviceTimeSum += result.load->serviceTime;
    ++accessor->second.serviceTimeCount;
}

AdmissionDecisions AdmissionPath::queueTimerExpired(routing::RequestId id, base::TimePoint now)
{
    std::string service;
    {
        std::scoped_lock lock(m_queueTimersMutex);
        auto n = id & ~queueTimerFlag;
        if (n >= m_queueTimerServices.size())
            return {};
        service = m_queueTimerServices[n];
    }
    return applyStep(m_admission.dispatch(service, now), now);
}

std::vector<admission::ServiceGrants> AdmissionPath::makeGrants() const
{
    std::vector<admission::ServiceGrants> services;
    for (size_t n = 0; n < m_table->services.size(); ++n) {
        admission::ServiceGrants grants { m_table->services[n], 0, {} };
        if (const auto* service = catalog::findService(*m_catalog, grants.service))
            grants.slots = usableSlots(*m_catalog, *service, m_shared.upstreams);
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

AdmissionDecisions AdmissionPath::refresh(base::TimePoint now)
{
    std::scoped_lock lock(m_refreshMutex);
    auto table = m_shared.table.load();
    auto catalog = m_shared.catalog.load();
    if (table == m_table && catalog == m_catalog)
        return {};
    m_table = std::move(table);
    m_catalog = std::move(catalog);
    return applyStep(m_admission.setGrants(makeGrants(), now), now);
}

Actions AdmissionPath::exchangeDemand(base::TimePoint now)
{
    Actions actions;
    auto view = m_shared.hostView.load();
    auto catalog = m_shared.catalog.load();
    // Hosts that serve at least one service together with this one. Because the sets of all services are merged, the
    // host's portion of a limit is at most an even share among the hosts that serve the service.
    std::set<std::string, std::less<>> members;
    for (const auto& service : catalog->services) {
        m_admission.setSlots(service.name, usableSlots(*catalog, service, m_shared.upstreams));
        auto serving = servingHostNames(m_shared, service.name);
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

AdmissionDecisions AdmissionPath::peerMessage(const PeerMessage& message, base::TimePoint now)
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

AdmissionDecisions AdmissionPath::tick(base::TimePoint now)
{
    auto decisions = refresh(now);
    auto append = [&](AdmissionDecisions&& more) {
        std::ranges::move(more.admittedSearches, std::back_inserter(decisions.admittedSearches));
        std::ranges::move(more.admittedExecutions, std::back_inserter(decisions.admittedExecutions));
        std::ranges::move(more.refusedSearches, std::back_inserter(decisions.refusedSearches));
        std::ranges::move(more.refusedExecutions, std::back_inserter(decisions.refusedExecutions));
        std::ranges::move(more.actions, std::back_inserter(decisions.actions));
    };
    append(applyStep(m_admission.expireQueued(now), now));
    std::scoped_lock lock(m_exchangeMutex);
    if (m_lastExchange != base::TimePoint {} && now - m_lastExchange < exchangeInterval)
        return decisions;
    m_lastExchange = now;
    auto messages = exchangeDemand(now);
    std::ranges::move(messages, std::back_inserter(decisions.actions));
    append(applyStep(m_admission.setAllocations(now), now));
    return decisions;
}

}
