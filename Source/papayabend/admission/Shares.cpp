#include "papayabend/admission/Shares.h"

#include <algorithm>
#include <numeric>

namespace papayabend::admission {

Allocation allocate(double capacity, std::span<const AccountDemand> demands)
{
    Allocation allocation { std::vector<double>(demands.size(), 0), std::max(capacity, 0.0) };
    std::vector<size_t> order(demands.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::ranges::sort(order, {}, [&](size_t n) { return demands[n].demand / demands[n].weight; });
    auto weights = std::accumulate(demands.begin(), demands.end(), 0.0,
        [](double sum, const AccountDemand& demand) { return sum + demand.weight; });
    // Demands in rising order of demand per weight: each gets its demand or its share of what is left.
    for (auto n : order) {
        auto share = weights > 0 ? allocation.spare * demands[n].weight / weights : 0;
        allocation.granted[n] = std::min(demands[n].demand, share);
        allocation.spare -= allocation.granted[n];
        weights -= demands[n].weight;
    }
    allocation.spare = std::max(allocation.spare, 0.0);
    return allocation;
}

double wantedRate(const DemandReport& report) { return report.arrivalsPerSecond + report.backlog; }

void FleetDemand::update(std::string_view host, std::vector<DemandReport> reports, base::TimePoint now)
{
    HostReports update { {}, now };
    for (auto& report : reports) {
        auto account = report.account;
        update.byAccount.emplace(std::move(account), std::move(report));
    }
    m_hosts.insert_or_assign(std::string(host), std::move(update));
}

void FleetDemand::removeOlder(base::TimePoint oldest)
{
    std::erase_if(m_hosts, [&](const auto& host) { return host.second.received < oldest; });
}

double FleetDemand::demand(std::string_view host, std::string_view account) const
{
    auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return 0;
    auto report = it->second.byAccount.find(std::string(account));
    return report == it->second.byAccount.end() ? 0 : wantedRate(report->second);
}

double FleetDemand::demand(std::string_view account) const
{
    return std::accumulate(m_hosts.begin(), m_hosts.end(), 0.0,
        [&](double sum, const auto& entry) { return sum + demand(entry.first, account); });
}

std::optional<base::Duration> FleetDemand::serviceTime() const
{
    double served = 0;
    double time = 0;
    for (const auto& [host, reports] : m_hosts) {
        for (const auto& [account, report] : reports.byAccount) {
            if (report.serviceTimeUs == 0)
                continue;
            served += report.servedPerSecond;
            time += report.servedPerSecond * static_cast<double>(report.serviceTimeUs);
        }
    }
    if (served <= 0)
        return std::nullopt;
    return base::Duration(static_cast<int64_t>(time / served));
}

}
