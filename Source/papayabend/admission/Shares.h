#pragma once

#include "papayabend/admission/Demand.h"
#include "papayabend/base/Time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::admission {

/** \struct AccountDemand
 * \brief Demand of one client account for a service over the fleet.
 */
struct AccountDemand {
    double weight { 1 };
    double demand { 0 }; /**< Requests per second. */
};

/** \struct Allocation
 * \brief Weighted max-min division of a capacity.
 */
struct Allocation {
    std::vector<double> granted; /**< In the order of the demands, and never above them. */
    double spare { 0 }; /**< Capacity beyond the sum of the demands. */
};

/** Divides \a capacity among accounts by weighted max-min fairness: no grant exceeds its demand, and what one account
 * does not need is divided among the others by weight.
 */
Allocation allocate(double capacity, std::span<const AccountDemand> demands);

/** \class FleetDemand
 * \brief Latest demand reports of all hosts that serve one service. Not safe for use by several threads.
 */
class FleetDemand {
public:
    /** Replaces all reports of \a host for the service. */
    void update(std::string_view host, std::vector<DemandReport>, base::TimePoint now);

    /** Removes hosts that have not reported since \a oldest. */
    void removeStale(base::TimePoint oldest);

    /** Returns the demand of \a account at \a host, or at all hosts, in requests per second. */
    double demand(std::string_view host, std::string_view account) const;
    double demand(std::string_view account) const;

    /** Returns the mean service time that the hosts measured, weighted by the requests they served; none if unknown. */
    std::optional<base::Duration> serviceTime() const;
    size_t hosts() const { return m_hosts.size(); }

private:
    struct HostReports {
        std::unordered_map<std::string, DemandReport> byAccount;
        base::TimePoint received;
    };
    std::map<std::string, HostReports, std::less<>> m_hosts;
};

/** Returns the demand in a report, in requests per second: the arrivals, and the backlog served within a second. */
double demandRate(const DemandReport&);

}
