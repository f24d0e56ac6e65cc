#include "papayabend/admission/Admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace papayabend::admission {

namespace {

    using base::RefusalCode;

    // Hosts that have not reported for this time are left out when the capacity of a service is divided.
    constexpr base::Duration reportLifetime = std::chrono::seconds(3);

    // Part of its share that a client account without reported demand may use until its demand is known.
    constexpr double unreportedDemandPart = 0.1;

    // Requests in flight at one host, as a multiple of the slots. More would only queue at the upstreams.
    constexpr double inFlightPerSlot = 2;

    // Calls to other failure domains take longer than the service time. The window is large enough to use the whole
    // capacity with calls of this length.
    constexpr double maxCallSeconds = 0.1;

    AdmissionStep refuse(routing::RequestId id, RefusalCode code, std::string detail)
    {
        AdmissionStep step;
        step.refused.push_back({ id, { code, base::Verdict::NotRun, std::move(detail), {} } });
        return step;
    }

    /** Adds the step of one service to the step of all services. */
    void appendStep(AdmissionStep& to, AdmissionStep&& from, const std::string& service)
    {
        if (from.wake)
            to.wakes.emplace_back(service, *from.wake);
        std::ranges::move(from.admitted, std::back_inserter(to.admitted));
        std::ranges::move(from.refused, std::back_inserter(to.refused));
    }

    /** Adds the wake time of the step, with the name of the service, to its wake times by service. */
    AdmissionStep addServiceWake(AdmissionStep&& step, std::string_view service)
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

std::shared_ptr<Admission::ServiceState> Admission::findService(std::string_view service) const
{
    std::shared_lock lock(m_servicesMutex);
    auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second;
}

std::vector<std::pair<std::string, std::shared_ptr<Admission::ServiceState>>> Admission::allServices() const
{
    std::shared_lock lock(m_servicesMutex);
    return { m_services.begin(), m_services.end() };
}

ConsumeQuota Admission::quotaConsumer(std::string_view service, base::TimePoint now)
{
    return [this, service, now](const std::string& account, const AccountGrant& grant) {
        return grant.limitPerSecond ? m_quotas.consume(account, service, now) : base::Duration::zero();
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
    for (const auto& entry : allServices()) {
        const auto& [name, state] = entry;
        auto it = std::ranges::find(services, entry.first, &ServiceGrants::service);
        std::scoped_lock lock(state->mutex);
        // A service that the table no longer contains keeps its requests in flight and admits no new ones.
        appendStep(step,
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
    auto state = findService(service);
    if (!state)
        return;
    std::scoped_lock lock(state->mutex);
    state->slots = slots;
    allocateService(*state);
}

AdmissionStep Admission::submit(
    std::string_view account, std::string_view service, const QueuedRequest& request, base::TimePoint now)
{
    auto state = findService(service);
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
            return refuse(
                request.id, RefusalCode::AccessDenied, "the table grants the account no access to the service");
        ++state->queue.inFlight;
        AdmissionStep step;
        step.admitted.push_back(request.id);
        return step;
    }
    return addServiceWake(
        admission::submit(state->queue, m_settings, account, request, now, quotaConsumer(service, now)), service);
}

AdmissionStep Admission::release(
    std::string_view service, base::Duration serviceTime, base::Duration runTime, base::TimePoint now)
{
    auto state = findService(service);
    if (!state)
        return {};
    std::scoped_lock lock(state->mutex);
    auto hadNoServiceTime = state->queue.serviceTime == base::Duration::zero();
    admission::release(state->queue, serviceTime, runTime);
    if (hadNoServiceTime)
        allocateService(*state);
    return addServiceWake(admission::dispatch(state->queue, now, quotaConsumer(service, now)), service);
}

bool Admission::remove(std::string_view account, std::string_view service, routing::RequestId id)
{
    auto state = findService(service);
    if (!state)
        return false;
    std::scoped_lock lock(state->mutex);
    return removeWaiting(state->queue, account, id);
}

AdmissionStep Admission::dispatch(std::string_view service, base::TimePoint now)
{
    auto state = findService(service);
    if (!state)
        return {};
    std::scoped_lock lock(state->mutex);
    return addServiceWake(admission::dispatch(state->queue, now, quotaConsumer(service, now)), service);
}

AdmissionStep Admission::expireQueued(base::TimePoint now)
{
    AdmissionStep step;
    for (const auto& [name, state] : allServices()) {
        std::scoped_lock lock(state->mutex);
        appendStep(step, admission::expireQueued(state->queue, now), name);
        appendStep(step, admission::dispatch(state->queue, now, quotaConsumer(name, now)), name);
    }
    return step;
}

std::vector<DemandReport> Admission::takeReports(base::TimePoint now)
{
    std::vector<DemandReport> reports;
    for (const auto& [name, state] : allServices()) {
        std::scoped_lock lock(state->mutex);
        auto own = admission::takeReports(state->queue, name, now);
        state->fleet.update(m_host, own, now);
        std::ranges::move(own, std::back_inserter(reports));
    }
    std::scoped_lock lock(m_demandMutex);
    m_latestReports[m_host] = reports;
    return reports;
}

void Admission::applyPeerReports(std::string_view peer, std::span<const DemandReport> reports, base::TimePoint now)
{
    for (const auto& entry : allServices()) {
        std::vector<DemandReport> serviceReports;
        std::ranges::copy_if(reports, std::back_inserter(serviceReports),
            [&](const DemandReport& report) { return report.service == entry.first; });
        std::scoped_lock lock(entry.second->mutex);
        entry.second->fleet.update(peer, std::move(serviceReports), now);
    }
    std::scoped_lock lock(m_demandMutex);
    m_latestReports.insert_or_assign(std::string(peer), std::vector<DemandReport>(reports.begin(), reports.end()));
}

void Admission::allocateService(ServiceState& state) const
{
    auto& queue = state.queue;
    auto hosts = static_cast<double>(std::max({ state.fleet.hosts(), m_servingHosts.load(), size_t { 1 } }));
    queue.window = static_cast<uint32_t>(std::max(std::ceil(state.slots * inFlightPerSlot), 1.0));
    auto serviceTime = state.fleet.serviceTime();
    if (!serviceTime && queue.serviceTime > base::Duration::zero())
        serviceTime = queue.serviceTime;
    state.granted.clear();
    state.capacity = 0;
    if (!serviceTime || serviceTime->count() == 0) {
        // Without a measured service time the capacity is unknown, so the slots
        // are divided among the hosts instead.
        queue.window = static_cast<uint32_t>(std::max(std::ceil(state.slots / hosts), 1.0));
        for (auto& entry : queue.accounts)
            entry.second.rate.reset();
        return;
    }
    auto seconds = std::chrono::duration<double>(*serviceTime).count();
    state.capacity = m_settings.utilisation * state.slots / seconds;
    queue.window = std::max(queue.window, static_cast<uint32_t>(std::ceil(state.capacity * maxCallSeconds)));
    std::vector<AccountDemand> accountDemands;
    std::ranges::transform(queue.accounts, std::back_inserter(accountDemands), [&](const auto& entry) {
        return AccountDemand { entry.second.grant.weight, state.fleet.demand(entry.first) };
    });
    auto allocation = allocate(state.capacity, accountDemands);
    double totalWeight = 0;
    for (const auto& accountDemand : accountDemands)
        totalWeight += accountDemand.weight;
    size_t n = 0;
    for (auto& [account, accountQueue] : queue.accounts) {
        const auto& accountDemand = accountDemands[n];
        auto granted = allocation.granted[n++];
        state.granted[account] = granted;
        auto share = state.capacity * accountDemand.weight / totalWeight;
        auto own = accountDemand.demand > 0 ? granted * state.fleet.demand(m_host, account) / accountDemand.demand : 0;
        own += allocation.spare * accountDemand.weight / totalWeight / hosts;
        accountQueue.rate = std::max(own, unreportedDemandPart * share / hosts);
    }
}

AdmissionStep Admission::setAllocations(base::TimePoint now)
{
    AdmissionStep step;
    for (const auto& [name, state] : allServices()) {
        std::scoped_lock lock(state->mutex);
        state->fleet.removeStale(now - reportLifetime);
        allocateService(*state);
        appendStep(step, admission::dispatch(state->queue, now, quotaConsumer(name, now)), name);
    }
    return step;
}

std::vector<QuotaLease> Admission::lend(std::string_view peer, uint64_t reportSequence, base::TimePoint now)
{
    std::scoped_lock lock(m_demandMutex);
    return m_quotas.lend(peer, reportSequence, m_latestReports, now);
}

double Admission::granted(std::string_view account, std::string_view service) const
{
    auto state = findService(service);
    if (!state)
        return 0;
    std::scoped_lock lock(state->mutex);
    auto it = state->granted.find(account);
    return it == state->granted.end() ? 0 : it->second;
}

double Admission::capacity(std::string_view service) const
{
    auto state = findService(service);
    if (!state)
        return 0;
    std::scoped_lock lock(state->mutex);
    return state->capacity;
}

}
