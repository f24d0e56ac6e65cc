#include "papayabend/admission/Admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace papayabend::admission {

namespace {

    using base::RefusalCode;

    // Hosts that have not reported for this time no longer count in the division of a service.
    constexpr base::Duration reportLife = std::chrono::seconds(3);

    // A client account without reported demand may use this part of its share at once, until its demand is known.
    constexpr double newDemandPart = 0.1;

    // Requests in flight at one host, as a multiple of the slots; above it upstreams only queue.
    constexpr double windowPerSlot = 2;

    // Calls to other failure domains take longer than the service time; the window covers calls of this length.
    constexpr double longestCallSeconds = 0.1;

    AdmissionStep refuse(routing::RequestId id, RefusalCode code, std::string detail)
    {
        AdmissionStep step;
        step.refused.push_back({ id, { code, base::Verdict::NotRun, std::move(detail), {} } });
        return step;
    }

    /** Moves the step of one service to a step of all services. */
    void append(AdmissionStep& to, AdmissionStep&& from, const std::string& service)
    {
        if (from.wake)
            to.wakes.emplace_back(service, *from.wake);
        std::ranges::move(from.admitted, std::back_inserter(to.admitted));
        std::ranges::move(from.refused, std::back_inserter(to.refused));
    }

    AdmissionStep named(AdmissionStep&& step, std::string_view service)
    {
        if (step.wake)
            step.wakes.emplace_back(service, *step.wake);
        return std::move(step);
    }

}

Admission::Admission(std::string host, const AdmissionSettings& settings, const QuotaSettings& quotas)
    : m_host(host)
    , m_settings(settings)
    , m_quotas(std::move(host), quotas)
{
}

std::shared_ptr<Admission::ServiceState> Admission::find(std::string_view service) const
{
    std::shared_lock lock(m_servicesMutex);
    auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second;
}

std::vector<std::pair<std::string, std::shared_ptr<Admission::ServiceState>>> Admission::all() const
{
    std::shared_lock lock(m_servicesMutex);
    return { m_services.begin(), m_services.end() };
}

TakeQuota Admission::quotaOf(std::string_view service, base::TimePoint now)
{
    return [this, service, now](const std::string& account, const AccountGrant& grant) {
        return grant.limitPerSecond ? m_quotas.take(account, service, now) : base::Duration::zero();
    };
}

AdmissionStep Admission::setGrants(std::span<const ServiceGrants> services, base::TimePoint now)
{
    AdmissionStep step;
    std::map<QuotaLedger::Key, double> limits;
    std::map<std::string, bool, std::less<>> accounts;
    for (const auto& service : services) {
        for (const auto& [account, grant] : service.accounts) {
            accounts[account] = true;
            if (grant.limitPerSecond)
                limits[{ account, service.service }] = *grant.limitPerSecond;
        }
    }
    m_quotas.setLimits(limits, now);
    {
        std::unique_lock lock(m_servicesMutex);
        m_accounts = std::move(accounts);
        for (const auto& service : services) {
            auto& state = m_services[service.service];
            if (!state)
                state = std::make_shared<ServiceState>();
        }
    }
    for (const auto& entry : all()) {
        const auto& [name, state] = entry;
        auto it = std::ranges::find(services, entry.first, &ServiceGrants::service);
        std::scoped_lock lock(state->mutex);
        // A service that the table no longer names keeps its requests in flight and admits no more.
        append(step,
            admission::setGrants(state->queue,
                it == services.end() ? std::map<std::string, AccountGrant, std::less<>> {} : it->accounts),
            name);
        if (it != services.end())
            state->slots = std::max(it->slots, 0.0);
        allocateService(*state);
    }
    return step;
}

void Admission::setSlots(std::string_view service, double slots)
{
    auto state = find(service);
    if (!state)
        return;
    std::scoped_lock lock(state->mutex);
    state->slots = slots;
    allocateService(*state);
}

AdmissionStep Admission::submit(
    std::string_view account, std::string_view service, const QueuedRequest& request, base::TimePoint now)
{
    auto state = find(service);
    if (!state)
        return refuse(request.id, RefusalCode::UnknownService, "the table names no service " + std::string(service));
    {
        std::shared_lock lock(m_servicesMutex);
        if (!m_accounts.contains(account))
            return refuse(
                request.id, RefusalCode::UnknownAccount, "the table names no account " + std::string(account));
    }
    std::scoped_lock lock(state->mutex);
    if (!m_settings.enabled) {
        if (!state->queue.accounts.contains(account))
            return refuse(request.id, RefusalCode::AccessDenied, "the table gives no access");
        ++state->queue.inFlight;
        AdmissionStep step;
        step.admitted.push_back(request.id);
        return step;
    }
    return named(admission::submit(state->queue, m_settings, account, request, now, quotaOf(service, now)), service);
}

AdmissionStep Admission::release(
    std::string_view service, base::Duration serviceTime, base::Duration runTime, base::TimePoint now)
{
    auto state = find(service);
    if (!state)
        return {};
    std::scoped_lock lock(state->mutex);
    auto wasUnknown = state->queue.serviceTime == base::Duration::zero();
    admission::release(state->queue, serviceTime, runTime);
    if (wasUnknown)
        allocateService(*state);
    return named(admission::dispatch(state->queue, now, quotaOf(service, now)), service);
}

bool Admission::remove(std::string_view account, std::string_view service, routing::RequestId id)
{
    auto state = find(service);
    if (!state)
        return false;
    std::scoped_lock lock(state->mutex);
    return removeWaiting(state->queue, account, id);
}

AdmissionStep Admission::dispatch(std::string_view service, base::TimePoint now)
{
    auto state = find(service);
    if (!state)
        return {};
    std::scoped_lock lock(state->mutex);
    return named(admission::dispatch(state->queue, now, quotaOf(service, now)), service);
}

AdmissionStep Admission::expireQueued(base::TimePoint now)
{
    AdmissionStep step;
    for (const auto& [name, state] : all()) {
        std::scoped_lock lock(state->mutex);
        append(step, admission::expireQueued(state->queue, now), name);
        append(step, admission::dispatch(state->queue, now, quotaOf(name, now)), name);
    }
    return step;
}

std::vector<DemandReport> Admission::takeReports(base::TimePoint now)
{
    std::vector<DemandReport> reports;
    for (const auto& [name, state] : all()) {
        std::scoped_lock lock(state->mutex);
        auto own = admission::takeReports(state->queue, name, now);
        state->fleet.update(m_host, own, now);
        std::ranges::move(own, std::back_inserter(reports));
    }
    std::scoped_lock lock(m_demandMutex);
    m_demand[m_host] = reports;
    return reports;
}

void Admission::applyPeerReports(std::string_view peer, std::span<const DemandReport> reports, base::TimePoint now)
{
    for (const auto& entry : all()) {
        std::vector<DemandReport> ofService;
        std::ranges::copy_if(reports, std::back_inserter(ofService),
            [&](const DemandReport& report) { return report.service == entry.first; });
        std::scoped_lock lock(entry.second->mutex);
        entry.second->fleet.update(peer, std::move(ofService), now);
    }
    std::scoped_lock lock(m_demandMutex);
    m_demand.insert_or_assign(std::string(peer), std::vector<DemandReport>(reports.begin(), reports.end()));
}

void Admission::allocateService(ServiceState& state) const
{
    auto& queue = state.queue;
    auto hosts = static_cast<double>(std::max({ state.fleet.hosts(), m_servingHosts.load(), size_t { 1 } }));
    queue.window = static_cast<uint32_t>(std::max(std::ceil(state.slots * windowPerSlot), 1.0));
    auto serviceTime = state.fleet.serviceTime();
    if (!serviceTime && queue.serviceTime > base::Duration::zero())
        serviceTime = queue.serviceTime;
    state.granted.clear();
    state.capacity = 0;
    if (!serviceTime || serviceTime->count() == 0) {
        // Without a measured service time only the number in flight can be divided.
        queue.window = static_cast<uint32_t>(std::max(std::ceil(state.slots / hosts), 1.0));
        for (auto& entry : queue.accounts)
            entry.second.rate.reset();
        return;
    }
    auto seconds = std::chrono::duration<double>(*serviceTime).count();
    state.capacity = m_settings.utilisation * state.slots / seconds;
    queue.window = std::max(queue.window, static_cast<uint32_t>(std::ceil(state.capacity * longestCallSeconds)));
    std::vector<AccountDemand> demands;
    std::ranges::transform(queue.accounts, std::back_inserter(demands), [&](const auto& entry) {
        return AccountDemand { entry.second.grant.weight, state.fleet.demand(entry.first) };
    });
    auto allocation = allocate(state.capacity, demands);
    double weights = 0;
    for (const auto& demand : demands)
        weights += demand.weight;
    size_t n = 0;
    for (auto& [account, accountQueue] : queue.accounts) {
        const auto& demand = demands[n];
        auto granted = allocation.granted[n++];
        state.granted[account] = granted;
        auto share = state.capacity * demand.weight / weights;
        auto own = demand.demand > 0 ? granted * state.fleet.demand(m_host, account) / demand.demand : 0;
        own += allocation.spare * demand.weight / weights / hosts;
        accountQueue.rate = std::max(own, newDemandPart * share / hosts);
    }
}

AdmissionStep Admission::setAllocations(base::TimePoint now)
{
    AdmissionStep step;
    for (const auto& [name, state] : all()) {
        std::scoped_lock lock(state->mutex);
        state->fleet.removeOlder(now - reportLife);
        allocateService(*state);
        append(step, admission::dispatch(state->queue, now, quotaOf(name, now)), name);
    }
    return step;
}

std::vector<QuotaLease> Admission::lend(std::string_view peer, uint64_t heartbeat, base::TimePoint now)
{
    std::scoped_lock lock(m_demandMutex);
    return m_quotas.lend(peer, heartbeat, m_demand, now);
}

double Admission::granted(std::string_view account, std::string_view service) const
{
    auto state = find(service);
    if (!state)
        return 0;
    std::scoped_lock lock(state->mutex);
    auto it = state->granted.find(account);
    return it == state->granted.end() ? 0 : it->second;
}

double Admission::capacity(std::string_view service) const
{
    auto state = find(service);
    if (!state)
        return 0;
    std::scoped_lock lock(state->mutex);
    return state->capacity;
}

}
