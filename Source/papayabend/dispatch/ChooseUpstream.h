#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/UpstreamEstimate.h"
#include "papayabend/dispatch/UpstreamGate.h"
#include "papayabend/dispatch/UpstreamReach.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace papayabend::dispatch {

/** \struct UpstreamLoad
 * \brief What this host has observed of one upstream.
 */
struct UpstreamLoad {
    std::vector<base::TimePoint> sentAt; /**< Send times of the requests in flight, oldest first. */
    double latencyRatio { 1 }; /**< Running mean of its latency divided by the median latency of the route. */
    base::TimePoint latencyRatioAt {}; /**< Time of the newest sample of latencyRatio. */
    base::TimePoint failurePauseUntil {}; /**< End of the pause after failed attempts. */
    base::TimePoint misdirectedUntil {}; /**< Another upstream has its address; nothing is sent before this time. */
    base::TimePoint fullUntil {}; /**< End of the pause after it refused a request for lack of capacity. */
    uint32_t consecutiveFailures { 0 };
    uint32_t idleConnections { 0 };
    uint32_t openConnections { 0 }; /**< Connections in any state. */
    uint32_t maxConnections { 1 }; /**< Configured bound of this host's connections to it. */
    /** Number of other open connections, at least 1, when it last ended a connection before its first answer on it;
     * connectionLimit() derives the present bound from it. UINT32_MAX if it has ended none so. */
    uint32_t acceptedConnections { UINT32_MAX };
    base::TimePoint acceptedChangedAt {}; /**< Time of the newest change of acceptedConnections. */
    uint32_t consecutiveRefusals { 0 }; /**< Connections refused in a row while no other one was open. */
    base::TimePoint connectPauseUntil {}; /**< End of the pause after those refusals. */
    uint32_t waiting { 0 }; /**< Requests that wait for a connection. */
    ReachObservation reach;
    UpstreamEstimate estimate; /**< Used only where ChoiceInputs::learned is set. */
};

/** \struct Candidate
 * \brief An upstream that a request may be sent to.
 */
struct Candidate {
    const discovery::UpstreamEntry* entry { nullptr };
    const UpstreamLoad* load { nullptr };
    bool isTried { false }; /**< An attempt of this request has already been sent to it. */
    bool isRemote { false }; /**< It is in another failure domain than this host. */
    bool isHeldBack { false }; /**< UpstreamGate allows no such attempt now. */
};

/** \struct LearnedChoice
 * \brief What a request bears, for the choice by learned estimates.
 */
struct LearnedChoice {
    base::Duration objectiveLeft { 0 }; /**< Time until the answer is late. */
    bool isRepeatable { false }; /**< A failed attempt may be followed by another one. */
    bool mayProbe { false }; /**< It may go to an upstream that is not expected to be the best. */
};

/** \struct ChoiceInputs
 * \brief Figures of the route that the choice depends on.
 */
struct ChoiceInputs {
    base::Duration medianLatency { 0 }; /**< Of the route's attempts. */
    base::Duration hedgeDelay { 0 }; /**< An upstream with a request in flight for longer is regarded as stalled. */
    base::TimePoint now;
    std::optional<LearnedChoice> learned {}; /**< Set if upstreams are chosen by UpstreamEstimate. */
};

/** Drops what this host has learned of the upstream, and its pause after failures, if \a record belongs to another
 * process than the last one. Called only where upstreams are chosen by UpstreamEstimate. */
void beginProcess(UpstreamLoad&, const discovery::UpstreamRecord& record);

/** Records the latency of an answer, and ends the pauses after failures and refused connections. */
void addLatency(UpstreamLoad&, base::Duration latency, base::Duration medianLatency, base::TimePoint now);

/** Records a failed attempt and pauses the upstream; each consecutive failure doubles the pause, up to a bound. */
void addFailure(UpstreamLoad&, base::TimePoint now);

/** Records that the upstream closed a connection before it answered anything on it.
 *
 * It is then expected to accept no more than \a otherConnections, the number of other open ones.
 */
void addRefusedConnection(UpstreamLoad&, uint32_t otherConnections, base::TimePoint now);

/** Returns whether the pause after refused connections has ended, so that a connection may be opened. */
bool acceptsConnections(const UpstreamLoad&, base::TimePoint now);

/** Returns the number of connections that this host may have to the upstream: the lower of the configured and the
 * inferred bound. The inferred one grows with time. */
uint32_t connectionLimit(const UpstreamLoad&, base::TimePoint now);

/** Records that another upstream answered at the address of this one. */
void addMisdirection(UpstreamLoad&, base::TimePoint now);

/** Requests that another upstream gets before one probes an upstream that would not be chosen by its estimate. */
constexpr uint32_t probeInterval = 20;

/** Returns whether the request may be sent to the upstream: not if it was tried, or if the gate does not allow it.
 * \a hasListed: see GateQuery::hasListed. */
bool isUsable(const Candidate&, bool hasListed, base::TimePoint now);

/** Returns the time after which the candidate is expected to answer. */
base::Duration expectedTime(const Candidate&, const ChoiceInputs&);

/** Returns the figures to which the estimates of the candidates are drawn. */
ServiceMean serviceMean(std::span<const Candidate>, base::TimePoint now);

/** Returns what the estimate of the candidate says of a request that is sent now. */
Expectation expectationOf(const Candidate&, const ServiceMean&, base::TimePoint now);

/** Returns the index of the usable candidate with the shortest expected time, or nothing if no candidate is usable.
 *
 * Upstreams that are paused after failures are chosen only if there is no other one, missing ones only if all listed
 * ones are draining.
 *
 * With ChoiceInputs::learned, the expected time follows from the estimates, and the cost of a failure is added to it. A
 * request that may probe goes to an upstream that only its own evidence keeps from being chosen, once in probeInterval
 * requests.
 */
std::optional<size_t> chooseUpstream(std::span<const Candidate>, const ChoiceInputs&);

}
