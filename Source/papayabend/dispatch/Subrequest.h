#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"

#include <cstdint>

namespace papayabend::dispatch {

/** \struct SubrequestPolicy
 * \brief What a route allows for the attempts at one service.
 */
struct SubrequestPolicy {
    bool isIdempotent { false };
    uint32_t maxAttempts { 1 }; /**< Upstreams that may run the request. */
    base::Duration hedgeDelay { 0 }; /**< Wait for the first attempt before a second one is sent. */
};

/** \struct SubrequestHistory
 * \brief The attempts of one request at one service.
 */
struct SubrequestHistory {
    uint32_t sent { 0 }; /**< Attempts of which a byte was handed to a connection. */
    uint32_t provenNotRun { 0 }; /**< Sent attempts that the upstream stated not to have run. */
    uint32_t unsent { 0 }; /**< Attempts that ended before a byte was sent, for example a refused connection. */
    uint32_t inFlight { 0 }; /**< Attempts that wait for a connection or an answer. */
    base::TimePoint lastSentAt {}; /**< Time of the newest send. */
};

/** Attempts of one subrequest that may fail without having run, beyond the attempts that the route allows. */
constexpr uint32_t maxUnrunAttempts = 3;

/** Returns whether the request may have run at the service. */
bool mayHaveRun(const SubrequestHistory&);

/** Returns whether another attempt may be started now that one has failed or is late. */
bool mayRetry(const SubrequestPolicy&, const SubrequestHistory&);

/** Returns whether a second attempt is due while the first one is in flight. */
bool isHedgeDue(const SubrequestPolicy&, const SubrequestHistory&, base::TimePoint now);

/** Returns whether a request that no upstream has been sent is refused, so that its client can try another host. */
bool isRefusalDue(const SubrequestHistory&, base::TimePoint objective, base::TimePoint now);

/** Returns what is known of the whole subrequest. */
base::Verdict verdictOf(const SubrequestHistory&);

}
