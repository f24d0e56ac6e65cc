#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"

#include <cstdint>

namespace papayabend::dispatch {

/** \struct SubrequestPolicy
 * \brief Rules of a route for the attempts of a subrequest.
 */
struct SubrequestPolicy {
    bool isIdempotent { false };
    uint32_t maxAttempts { 1 }; /**< Number of upstreams that may run the request. */
    base::Duration hedgeDelay { 0 }; /**< Time without an answer to the first attempt before a second one is sent. */
};

/** \struct SubrequestHistory
 * \brief Attempts of a subrequest so far; a request has one subrequest for each service that it needs.
 *
 * The only count of attempts; changed by attemptQueued(), attemptSent() and attemptEnded().
 */
struct SubrequestHistory {
    uint32_t sent { 0 }; /**< Attempts of which at least one byte was written to a connection. */
    uint32_t provenNotRun { 0 }; /**< Sent attempts that did not run, as the upstream's answer or connection proves. */
    uint32_t unsent { 0 }; /**< Attempts that ended before a byte was sent, for example a refused connection. */
    uint32_t inFlight { 0 }; /**< Attempts that wait for a connection or an answer. */
    uint32_t waiting { 0 }; /**< Attempts that wait for a connection; each may still be sent. */
    base::TimePoint lastSentAt {}; /**< Time at which the newest attempt was sent. */
};

/** Attempts of a subrequest that may end without having run, beyond the attempts that the route allows. */
constexpr uint32_t maxUnrunAttempts = 3;

/** Counts an attempt that now waits for a connection. */
void attemptQueued(SubrequestHistory&);

/** Counts a waiting attempt that is sent now. */
void attemptSent(SubrequestHistory&, base::TimePoint now);

/** Counts the end of an attempt. \a wasSent: it was sent before. \a hasNotRun: it is proven not to have run. */
void attemptEnded(SubrequestHistory&, bool wasSent, bool hasNotRun);

/** Returns whether an upstream may have run the request. */
bool mayHaveRun(const SubrequestHistory&);

/** Returns whether another attempt may be started after one has failed or is late. Attempts that wait for a connection
 * count as ones that run. */
bool mayRetry(const SubrequestPolicy&, const SubrequestHistory&);

/** Returns whether one of the waiting attempts may be sent now. */
bool maySend(const SubrequestPolicy&, const SubrequestHistory&);

/** Returns whether a second attempt is to be sent while the first one is in flight. */
bool isHedgeDue(const SubrequestPolicy&, const SubrequestHistory&, base::TimePoint now);

/** Returns whether to refuse the request because no upstream can have run it and its objective has passed. The client
 * can then try another host. */
bool isRefusalDue(const SubrequestHistory&, base::TimePoint objective, base::TimePoint now);

/** Returns the verdict on all attempts of the subrequest together. */
base::Verdict verdictOf(const SubrequestHistory&);

}
