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
    uint64_t serviceTimeUs { 0 }; /**< Mean time that a call holds a slot of an upstream; 0: not measured. */
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
    uint64_t validityUs { 0 }; /**< Time from the sending of the report \a basis; the lender waits longer. */
    uint64_t basis { 0 }; /**< Heartbeat of the borrower's report that the lender answers. */
};

}
