#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/discovery/UpstreamDirectory.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace papayabend::dispatch {

/** \struct UpstreamLoad
 * \brief What this host has seen of one upstream.
 */
struct UpstreamLoad {
    std::vector<base::TimePoint> sentAt; /**< Send times of the requests in flight, oldest first. */
    double latencyRatio { 1 }; /**< Its latency in relation to the median of the route. */
    base::TimePoint latencyRatioAt {}; /**< Time of the newest sample. */
    base::TimePoint avoidUntil {}; /**< End of the pause after failures. */
    base::TimePoint misdirectedUntil {}; /**< Another upstream has its address; nothing is sent before this time. */
    base::TimePoint fullUntil {}; /**< End of the pause after it refused for want of room. */
    uint32_t failures { 0 }; /**< Failures in a row. */
    uint32_t idleConnections { 0 };
    uint32_t openConnections { 0 }; /**< Connections of any state. */
    uint32_t maxConnections { 1 }; /**< Connections that this host may have to it. */
    uint32_t acceptedConnections { UINT32_MAX }; /**< Bound learned from connections that it reset unused. */
    base::TimePoint acceptedAt {}; /**< Time of the newest change of that bound. */
    uint32_t refusedConnections { 0 }; /**< Refused in a row while no other one was open. */
    base::TimePoint noConnectUntil {}; /**< End of the pause after them. */
    uint32_t waiting { 0 }; /**< Requests that wait for a connection. */
};

/** \struct Candidate
 * \brief An upstream that a request may go to.
 */
struct Candidate {
    const discovery::UpstreamEntry* entry { nullptr };
    const UpstreamLoad* load { nullptr };
    bool isTried { false }; /**< An attempt of this request has gone to it. */
    bool isRemote { false }; /**< It is in another failure domain. */
};

/** \struct ChoiceInputs
 * \brief Figures of the route that a choice weighs.
 */
struct ChoiceInputs {
    base::Duration medianLatency { 0 }; /**< Median latency of the route's attempts. */
    base::Duration hedgeDelay { 0 }; /**< A request in flight for longer suggests that the upstream has stalled. */
    base::TimePoint now;
};

/** Records the latency of an answer, in relation to the route's median. */
void addLatency(UpstreamLoad&, base::Duration latency, base::Duration medianLatency, base::TimePoint now);

/** Records a failed attempt: the pause doubles with each failure in a row. */
void addFailure(UpstreamLoad&, base::TimePoint now);

/** Records that the upstream ended a connection on which it had answered nothing: it accepts no more than \a others. */
void addRefusedConnection(UpstreamLoad&, uint32_t others, base::TimePoint now);

/** Returns whether a connection to the upstream may be opened now, as far as it has refused earlier ones. */
bool acceptsConnections(const UpstreamLoad&, base::TimePoint now);

/** Returns the connections that this host may have to the upstream now; the learned bound grows with time. */
uint32_t connectionLimit(const UpstreamLoad&, base::TimePoint now);

/** Records that another upstream answers at the address. */
void addMisdirection(UpstreamLoad&, base::TimePoint now);

/** Returns whether a request may be sent to the upstream at all. */
bool isUsable(const Candidate&, base::TimePoint now);

/** Returns how many upstreams of a service a request may go to.
 *
 * Missing ones count only if no other is listed: entries that lapsed while the store was away lapsed together, and one
 * that is missing alone has left.
 */
size_t countUsable(std::span<const discovery::UpstreamEntry* const> ofService);

/** Returns the time until an answer of the candidate is expected. */
base::Duration expectedTime(const Candidate&, const ChoiceInputs&);

/** Returns the index of the candidate with the shortest expected time, or nothing if none may be used.
 *
 * Upstreams that are paused after failures are taken only if no other one is left, missing ones only if none is listed.
 */
std::optional<size_t> chooseUpstream(std::span<const Candidate>, const ChoiceInputs&);

}
