#pragma once

#include "papayabend/dispatch/Subrequest.h"
#include "papayabend/dispatch/UpstreamGate.h"

#include <optional>

namespace papayabend::dispatch {

/** \enum SendReason
 * \brief Why a waiting attempt may not be sent.
 */
enum class SendReason : uint8_t {
    None, /**< It may be sent. */
    Answered, /**< The request or its part for this service is settled. */
    OutOfTime, /**< The deadline of the request has passed. */
    Stale, /**< The process was paused and has not refreshed its content yet. */
    Suspect, /**< Upstreams have ended while they ran the request. */
    Gate, /**< SendInputs::gate says why. */
    AttemptsUsed, /**< As many upstreams as the route allows may have run the request. */
    NoBudget, /**< The retry budget is used up. */
};

/** \struct SendInputs
 * \brief State of a waiting attempt, of its upstream and of its request at the time at which a connection is free.
 */
struct SendInputs {
    GateReason gate { GateReason::None };
    bool isAnswered { false };
    bool isStale { false };
    bool isSuspect { false };
    SubrequestPolicy policy;
    SubrequestHistory history; /**< With the attempt as a waiting one. */
    /** Attempts that the retry budget has left; empty if the attempt needs none. */
    std::optional<double> budgetLeft;
    base::TimePoint deadline {};
    base::TimePoint now {};
};

/** Returns whether the next attempt that is sent needs retry budget. */
bool needsBudget(const SubrequestHistory&);

/** Returns why the attempt may not be sent, if so. Load addressed: all connections to an upstream are in use, so that
 * attempts wait while their upstream drains, other attempts are sent, or the request is answered. */
SendReason reasonNotToSend(const SendInputs&);

/** Returns the reason for the log and the metrics, for example "answered"; that of the gate for SendReason::Gate. */
const char* toString(SendReason, GateReason);

}
