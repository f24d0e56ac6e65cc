#pragma once

#include "papayabend/base/Time.h"

namespace papayabend::dispatch {

/** \struct CallerPath
 * \brief What a host can observe of the way between a caller and itself. It can't see whether the caller has
 * asked for addresses just before.
 */
struct CallerPath {
    base::Duration roundTrip { 0 }; /**< Round trip of the connection; 0 if it is not known. */
    bool isNewConnection { false }; /**< The request is the first one of its connection. */
};

/** \struct TurnDelay
 * \brief Running estimate of the time by which a busy process runs its timers late.
 *
 * It rises at once and decays with time, since the next timer may meet the same load.
 */
struct TurnDelay {
    base::Duration delay { 0 }; /**< As of \a observedAt. */
    base::TimePoint observedAt {};
};

/** Records that a timer ran \a late after its due time. */
void observe(TurnDelay&, base::Duration late, base::TimePoint now);

/** Returns the time by which a timer is expected to run late now. */
base::Duration expectedDelay(const TurnDelay&, base::TimePoint now);

/** Returns the part of a caller's time that this host does not have: the caller counts from its first packet to the
 * last byte of the answer, the host from the arrival of the request to the moment at which it decides to answer.
 *
 * A new connection costs the caller one more round trip before the request. Any request may follow a question for
 * addresses, which takes two round trips to a host of the caller's failure domain, because entry answers are valid for
 * a short time only.
 */
base::Duration returnTime(const CallerPath&, const TurnDelay&, base::TimePoint now);

}
