#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/discovery/UpstreamDirectory.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace papayabend::dispatch {

/** \struct StatedLoad
 * \brief What an upstream states of its load in an answer.
 */
struct StatedLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 1 };
    std::optional<double> workRatio; /**< Time that work takes now, relative to the usual time. */
};

/** \struct UpstreamEstimate
 * \brief What this host has learned of one upstream process from the results of its attempts.
 *
 * Addresses up to some hundred requests a second to an upstream, and hosts that see about one. Response times are
 * relative to the median of the request's route. All sums decay with time, so that old evidence gives way to the
 * figures of the service.
 */
struct UpstreamEstimate {
    std::string address;
    std::optional<int64_t> startedAt;
    uint32_t generation { 0 }; /**< Number of processes that beginProcess() has told apart. */

    /** Sums for the fit of the response time over the requests in flight, as of fittedAt. */
    double weight { 0 };
    double sumLoad { 0 };
    double sumLoadSquared { 0 };
    double sumRatio { 0 };
    double sumLoadRatio { 0 };
    base::TimePoint fittedAt {};

    /** Weighted sum of answers relative to the fit, as of deviationAt. */
    double deviationWeight { 0 };
    double deviationSum { 0 };
    base::TimePoint deviationAt {};

    double attempts { 0 }; /**< As of attemptsAt, like failures. */
    double failures { 0 };
    base::TimePoint attemptsAt {};

    std::optional<StatedLoad> stated;
    base::TimePoint statedAt {};
    double statedOthers { 0 }; /**< Stated requests beyond those of this host. */
    /** Running means of the error of the fit, with and without the stated work ratio. What an upstream states counts
     * little at first, until its answers agree with it. */
    double errorWithStated { 0.6 };
    double errorWithoutStated { 0.2 };

    base::TimePoint newestAt {}; /**< Newest result of an attempt. */
    uint32_t passedOver { 0 }; /**< Requests that another upstream got since the last one that this upstream got. */
};

/** \struct ServiceMean
 * \brief Figures of a service, to which the estimates of its upstreams are drawn.
 */
struct ServiceMean {
    double latencyRatio { 1 };
    double failureRate { 0 };
};

/** \struct Expectation
 * \brief What the estimate says of a request that is sent now.
 */
struct Expectation {
    double requests { 0 }; /**< Requests in flight at the upstream, as far as known. */
    double steadyRatio { 1 }; /**< Response time that the fit gives. */
    double evidence { 0 }; /**< Share of the upstream's own answers in the fit, in [0, 1]. */
    double deviation { 1 }; /**< Factor for the state at this moment. */
    double failureRate { 0 };
    std::optional<base::Duration> age; /**< Of the newest evidence; empty without any. */
    uint32_t generation { 0 }; /**< Of the estimate. */

    double latencyRatio() const { return steadyRatio * deviation; }
};

/** \enum AttemptEnd
 * \brief How an attempt ended, as far as it shows something of the upstream.
 */
enum class AttemptEnd : uint8_t {
    Answered, /**< With an answer that can be used. */
    Failed, /**< Lost, or with an answer that cannot be used. */
    Refused, /**< Not run. */
    GivenUp, /**< This host did not wait for the answer. */
};

/** \struct AttemptResult
 * \brief The end of an attempt.
 */
struct AttemptResult {
    AttemptEnd end { AttemptEnd::Answered };
    base::Duration duration { 0 }; /**< Since it was sent. */
    base::Duration medianLatency { 0 }; /**< Of the route; 0 if it is not known yet. */
    base::Duration objective { 0 }; /**< Of the route; an attempt that is given up later counts as failed. */
    std::optional<StatedLoad> stated; /**< What the upstream states in the answer. */
    size_t ownRequests { 0 }; /**< Further requests of this host that are in flight to the upstream. */
};

/** Drops the estimate if \a record belongs to another process than before: another start time, or another address.
 * Returns whether it did. */
bool beginProcess(UpstreamEstimate&, const discovery::UpstreamRecord& record);

/** Records how an attempt ended. \a expected: what the estimate said when it was chosen; results of an earlier process
 * are ignored. */
void addResult(UpstreamEstimate&, const Expectation& expected, const AttemptResult&, base::TimePoint now);

ServiceMean serviceMean(std::span<const UpstreamEstimate* const>, base::TimePoint now);

/** \a ownRequests: requests of this host that are in flight to the upstream. */
Expectation expect(const UpstreamEstimate&, const ServiceMean&, double ownRequests, base::TimePoint now);

/** Returns the figures as text for the log, for example "time x1.25, failures 0.02, 340 ms old". */
std::string describe(const Expectation&);

/** Returns whether the upstream is to be regarded as slow: its own evidence shows half more than the median of the
 * routes. */
bool isSlow(const UpstreamEstimate&, base::TimePoint now);

/** Returns whether at least a tenth of the recent attempts have failed, and at least two. */
bool isFailing(const UpstreamEstimate&, base::TimePoint now);

}
