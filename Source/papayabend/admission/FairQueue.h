#pragma once

#include "papayabend/admission/Demand.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/routing/Attempt.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayabend::admission {

/** \struct AdmissionSettings
 * \brief Whether and how many requests are queued, and the part of a service's capacity that is granted.
 */
struct AdmissionSettings {
    bool enabled { true }; /**< False: accounts with a grant are admitted at once, as a baseline for measurements. */
    size_t queueLength { 256 }; /**< Requests that may wait for one account and service. */
    double utilisation { 0.95 }; /**< Part of the computed capacity of a service that is granted to accounts. */
};

/** \struct AccountGrant
 * \brief Weight, limit and priority that the table grants one client account for one service.
 */
struct AccountGrant {
    double weight { 1 };
    std::optional<double> limitPerSecond;
    bool isBulk { false };
};

/** \struct QueuedRequest
 * \brief A request that waits for admission to the upstreams.
 */
struct QueuedRequest {
    routing::RequestId id { 0 };
    base::TimePoint deadline {};
    base::TimePoint arrived {}; /**< Set by submit(). */
};

/** \struct RefusedRequest
 * \brief A request that was not admitted; it has not run.
 */
struct RefusedRequest {
    routing::RequestId id { 0 };
    base::Refusal refusal;
};

/** \struct AdmissionStep
 * \brief Requests that an operation on a queue admitted and refused, and the time of the next dispatch.
 */
struct AdmissionStep {
    std::vector<routing::RequestId> admitted;
    std::vector<RefusedRequest> refused;
    std::optional<base::TimePoint> wake; /**< Time at which dispatch() has to be called for the queue. */
    std::vector<std::pair<std::string, base::TimePoint>> wakes; /**< Wake times by service, set by Admission. */
};

/** Counts one request against an account's limit. Returns zero, or the time until the limit allows the next request. */
using ConsumeQuota = std::function<base::Duration(const std::string& account, const AccountGrant&)>;

/** \struct AccountQueue
 * \brief Waiting requests of one client account for one service, with its measured demand.
 */
struct AccountQueue {
    AccountGrant grant;
    std::deque<QueuedRequest> waiting;
    std::optional<double> rate; /**< Requests per second that this host may admit; none: only the window bounds them. */
    double tokens { 1 };
    base::TimePoint refilledAt {};
    double virtualTime { 0 }; /**< Admitted requests, divided by the weight. The lowest is served next. */
    base::TimePoint quotaBlockedUntil {};
    uint64_t arrivals { 0 }; /**< Since the last report. */
    uint64_t served { 0 }; /**< Since the last report. */
    double arrivalsPerSecond { 0 };
    double servedPerSecond { 0 };
};

/** \struct FairQueue
 * \brief Weighted fair queue in front of the upstreams of one service. Not safe for use by several threads.
 */
struct FairQueue {
    std::map<std::string, AccountQueue, std::less<>> accounts;
    uint32_t inFlight { 0 };
    uint32_t window { 1 }; /**< Largest number of requests in flight from this host. */
    base::Duration serviceTime {}; /**< Mean of the upstreams' reports; zero: not measured. */
    base::Duration runTime {}; /**< Mean time from admission to the end; zero: not measured. */
    base::Duration runDeviation {}; /**< Mean deviation of the run time. */
    base::TimePoint lastReportAt {}; /**< Time of the last demand report. */
    double virtualNow { 0 }; /**< Highest virtual time at which a request was admitted. */
    uint32_t consecutiveInteractive { 0 };
    std::optional<base::TimePoint> pendingWake;
};

/** Replaces the grants; refuses queued requests whose account no longer has a grant. */
AdmissionStep setGrants(FairQueue&, const std::map<std::string, AccountGrant, std::less<>>&);

/** Queues a request and dispatches. Refuses a request whose account has no grant, and early those that would exceed the
 * length of the queue, the limit of the account or their deadline.
 */
AdmissionStep submit(FairQueue&, const AdmissionSettings&, std::string_view account, const QueuedRequest&,
    base::TimePoint now, const ConsumeQuota&);

/** Admits as many requests as window, rates and limits allow; refuses those that would end after their deadline. */
AdmissionStep dispatch(FairQueue&, base::TimePoint now, const ConsumeQuota&);

/**
 * Ends an admitted request. \a serviceTime is the time that the upstreams reported, \a runTime the time since the
 * request's admission; zero: not measured.
 */
void release(FairQueue&, base::Duration serviceTime, base::Duration runTime = {});

/** Returns the expected time from admission to the end of a request admitted now, with a margin for slow requests. */
base::Duration expectedRunTime(const FairQueue&);

/** Removes a waiting request. Returns false if it does not wait. */
bool removeWaiting(FairQueue&, std::string_view account, routing::RequestId);

/** Refuses waiting requests whose deadline has passed. */
AdmissionStep expireQueued(FairQueue&, base::TimePoint now);

/** Returns the smoothed demand and admitted rate since the last call, one report for each account that has any. */
std::vector<DemandReport> takeReports(FairQueue&, std::string_view service, base::TimePoint now);

}
