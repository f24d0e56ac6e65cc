#pragma once

#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/UpstreamHolds.h"
#include "papayabend/dispatch/UpstreamLimits.h"

#include <optional>

namespace papayabend::dispatch {

/** \struct UpstreamGate
 * \brief What upstreams have said about themselves, from which follows whether a request may go to one now.
 */
struct UpstreamGate {
    UpstreamHolds holds;
    UpstreamLimits limits;
    double limitShare { 1 }; /**< This host's part of the limits, see fleet::demandShare(). */

    bool isEmpty() const { return holds.isEmpty() && limits.isEmpty(); }
};

/** Returns the key of an upstream process in the gate. */
uint64_t keyOf(const discovery::UpstreamRecord&);

/** Returns the time until the limit and the pause of the upstream with \a key allow a request, or nothing if it leaves.
 */
std::optional<base::Duration> waitFor(const UpstreamGate&, uint64_t key, base::TimePoint now);

/** Returns whether a request may be sent to the upstream with \a key now. Hedges are not sent to an upstream with a
 * limit, as they would take the place of first attempts. */
bool isOpen(const UpstreamGate&, uint64_t key, bool isHedge, base::TimePoint now);

}
