#pragma once

#include <cstdint>
#include <string>

namespace papayabend::admission {

/** \struct DemandReport
 * \brief Demand of one client account for one service at the sending host, in requests per second.
 */
struct DemandReport {
    std::string account;
    std::string service;
    double arrivalsPerSecond { 0 };
    double servedPerSecond { 0 };
    double backlog { 0 }; /**< Requests that wait now. */
};

/** \struct QuotaLease
 * \brief Part of a limit that the lender does not use while the lease runs.
 */
struct QuotaLease {
    uint64_t id { 0 }; /**< Unique for the lender's incarnation. */
    std::string lender;
    std::string borrower;
    std::string account;
    std::string service;
    double requestsPerSecond { 0 };
    uint64_t validityUs { 0 }; /**< Time from receipt; the lender waits longer than this. */
};

}
