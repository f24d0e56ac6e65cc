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
    std::vector<double> granted; /**< In the order of the demands; never above the demand. */
    double spare { 0 }; /**< Capacity that is not demanded. */
};

/** Divides \a capacity over the demands by weighted max-min: no grant exceeds its demand, and what one account
 * leaves is divided over the others by weight.
 */
Allocation allocate(double capacity, std::span<const AccountDemand> demands);

/** \class FleetDemand
 * \brief Latest demand reports of all hosts that serve one service. Not safe for use by several threads.
 */
class FleetDemand {
public:
    /** Takes all reports of \a host for the service; they replace its earlier ones. */
    void update(std::string_view host, std::vector<DemandReport>, base::TimePoint now);

    /** Forgets hosts that have not reported since \a oldest. */
    void removeOlder(base::TimePoint oldest);

    /** Requests per second that \a account wants at \a host, and at all hosts. */
    double demand(std::string_view host, std::string_view account) const;
    double demand(std::string_view account) const;

    /** Mean service time that the hosts measured, weighted by the requests they served; none if unknown. */
    std::optional<base::Duration> serviceTime() const;
    size_t hosts() const { return m_hosts.size(); }

private:
    struct HostReports {
        std::unordered_map<std::string, DemandReport> byAccount;
        base::TimePoint received;
    };
    std::map<std::string, HostReports, std::less<>> m_hosts;
};

/** Returns the rate that a report asks for: arrivals, and a backlog that should be served within a second. */
double wantedRate(const DemandReport&);

}
