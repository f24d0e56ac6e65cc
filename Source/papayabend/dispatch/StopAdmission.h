#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/dispatch/LatencyEstimate.h"

namespace papayabend::dispatch {

/** \struct StopInputs
 * \brief A request that has arrived during a planned stop, and what is left of the grace time.
 */
struct StopInputs {
    base::TimePoint now {};
    base::TimePoint endsAt {}; /**< All requests of the process are answered by this time. */
    base::TimePoint deadlineAt {}; /**< End of the request's own time. */
    base::Duration objective { 0 }; /**< Latency objective of the route; 0 if it has none. */
    bool isIdempotent { false };
    bool hasOtherHost { false }; /**< Another host is ready for callers. */
};

/** Returns the time within which an upstream's answer is to be expected: some times the high quantile of the latency,
 * at least the objective. The time is longer for a request that cannot be repeated, and until its deadline as long as
 * there are too few samples. */
base::Duration servingTime(const LatencyEstimate&, const StopInputs&);

/** Returns whether the request may still be passed on.
 *
 * It may if its answer is expected before the end of the grace time. Without another host to go to, an idempotent
 * request may be tried until that end; one that cannot be repeated is refused, because its caller would not learn
 * whether it has run.
 */
bool mayBeginDuringStop(const LatencyEstimate&, const StopInputs&);

/** Returns after which time a refused caller should come back: at once if there is another host, else once the process
 * has ended and has had time to start again. */
base::Duration retryAfterStop(const StopInputs&);

}
