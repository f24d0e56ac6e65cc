#pragma once

#include "papayabend/fleet/FleetView.h"

#include <cstddef>

namespace papayabend::fleet {

/** Time for which the highest numbers of hosts are used: hosts that are cut off for less keep the parts that they had.
 */
constexpr base::Duration coldPeakTime { std::chrono::minutes(10) };

/** \struct PeakCount
 * \brief The highest number of the last coldPeakTime.
 */
struct PeakCount {
    size_t count { 1 };
    base::TimePoint at {};
};

/** \struct ColdShare
 * \brief State that determines this host's part of what all hosts together may send to a cold upstream.
 *
 * The parts may not add up to much more than the whole, also among hosts that are cut off from each other, and each of
 * which then sees a fleet of itself.
 */
struct ColdShare {
    PeakCount hosts; /**< Known hosts with this one. */
    PeakCount ownDomain; /**< Those of them in this host's failure domain. */
    PeakCount serving; /**< Hosts that callers are sent to. */
    size_t liveInOwnDomain { 1 };
    bool isServing { false };
    base::TimePoint servingSince {};
    bool needsOthers { false }; /**< The host has seeds, so that a fleet without others is not the whole one. */
};

/** Records what the host sees of the fleet now. */
void observe(ColdShare&, const FleetView&, bool isServing, size_t servingHosts, base::TimePoint now);

/** Returns this host's part, in [0, 1]. */
double partOf(const ColdShare&, base::TimePoint now);

}
