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
    double backlog { 0 }; /**< Requests waiting when the report is made. */
    uint64_t serviceTimeUs { 0 }; /**< Mean time for which a call occupies a slot of an upstream; 0: not measured. */
};

/** \struct QuotaLease
 * \brief Part of a limit that the borrower may use, and the lender may not, until the lease ends.
 */
struct QuotaLease {
    uint64_t id { 0 }; /**< Unique within the lender's incarnation. */
    std::string lender;
    std::string borrower;
    std::string account;
    std::string service;
    double requestsPerSecond { 0 };
    /** Counted from the time at which the borrower sent the report \a basis. The lender reserves the rate for longer.
     */
    uint64_t validityUs { 0 };
    uint64_t basis { 0 }; /**< Sequence number of the borrower's demand report that the lender answers. */
};

}
