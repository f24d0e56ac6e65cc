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
 * \brief Bounds of the queues in front of the upstreams.
 */
struct AdmissionSettings {
    bool enabled { true }; /**< False: known accounts pass at once; the plain baseline of measurements. */
    size_t queueLength { 256 }; /**< Requests that may wait for one account and service. */
    double utilisation { 0.95 }; /**< Part of the computed capacity of a service that is given out. */
};

/** \struct AccountGrant
 * \brief What the table grants one client account of one service.
 */
struct AccountGrant {
    double weight { 1 };
    std::optional<double> limitPerSecond;
    bool isBulk { false };
};

/** \struct QueuedRequest
 * \brief A request that asks to pass to the upstreams.
 */
struct QueuedRequest {
    routing::RequestId id { 0 };
    base::TimePoint deadline {};
    base::TimePoint arrived {}; /**< Set by submit(). */
};

/** \struct RefusedRequest
 * \brief A request that did not pass; it has not run.
 */
struct RefusedRequest {
    routing::RequestId id { 0 };
    base::Refusal refusal;
};

/** \struct AdmissionStep
 * \brief What has to be done after an event of a queue.
 */
struct AdmissionStep {
    std::vector<routing::RequestId> admitted;
    std::vector<RefusedRequest> refused;
    std::optional<base::TimePoint> wake; /**< Time at which this queue has to be dispatched. */
    std::vector<std::pair<std::string, base::TimePoint>> wakes; /**< The same by service, set by Admission. */
};

/** Takes one request from an account's limit; returns zero, or the time until the limit allows the next one. */
using TakeQuota = std::function<base::Duration(const std::string& account, const AccountGrant&)>;

/** \struct AccountQueue
 * \brief Waiting requests of one client account for one service, with its measured demand.
 */
struct AccountQueue {
    AccountGrant grant;
    std::deque<QueuedRequest> waiting;
    std::optional<double> rate; /**< Requests per second that may pass here; none: bounded by the window only. */
    double tokens { 1 };
    base::TimePoint refilled {};
    double virtualTime { 0 }; /**< Requests passed per weight. */
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
    uint32_t window { 1 }; /**< Requests that may be in flight from this host. */
    base::Duration serviceTime {}; /**< Mean of the upstreams' reports; zero: not measured. */
    base::Duration runTime {}; /**< Mean time from admission to the end; zero: not measured. */
    base::Duration runDeviation {}; /**< Mean deviation of the run time. */
    base::TimePoint measured {}; /**< Time of the last report. */
    double virtualNow { 0 };
    uint32_t interactiveInARow { 0 };
    std::optional<base::TimePoint> pendingWake;
};

/** Replaces the grants; requests that wait for an account without a grant are refused. */
AdmissionStep setGrants(FairQueue&, const std::map<std::string, AccountGrant, std::less<>>&);

/** Queues a request of an account that has a grant, or refuses it early. */
AdmissionStep submit(FairQueue&, const AdmissionSettings&, std::string_view account, const QueuedRequest&,
    base::TimePoint now, const TakeQuota&);

/** Lets as many requests pass as window, rates and limits allow; drops those that would end too late. */
AdmissionStep dispatch(FairQueue&, base::TimePoint now, const TakeQuota&);

/**
 * Takes back a request that was admitted, with the service time that the upstreams reported, or zero, and the time
 * since its admission, or zero.
 */
void release(FairQueue&, base::Duration serviceTime, base::Duration runTime = {});

/** Returns the time that a request admitted now is expected to need, with a margin for slow ones. */
base::Duration timeNeeded(const FairQueue&);

/** Removes a request that waits; returns false if it does not. */
bool removeWaiting(FairQueue&, std::string_view account, routing::RequestId);

/** Refuses requests whose deadline has passed. */
AdmissionStep expireQueued(FairQueue&, base::TimePoint now);

/** Returns demand and use since the last call, one report for each account with any. */
std::vector<DemandReport> takeReports(FairQueue&, std::string_view service, base::TimePoint now);

}
