#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>

namespace papayabend::fleet {

/** \struct LoadEstimate
 * \brief Rate of a counter that rises with its peaks and falls slowly, so that roles which follow it change seldom.
 */
struct LoadEstimate {
    double perSecond { 0 };
    uint64_t count { 0 }; /**< Counter at countedAt. */
    base::TimePoint countedAt {};
};

/** Time between two observations at least; shorter ones change nothing. */
constexpr base::Duration minLoadInterval { std::chrono::seconds(1) };

/** Time in which the estimate falls to a half after the load has gone. */
constexpr base::Duration loadHalfLife { std::chrono::seconds(20) };

/** Takes the counter as of \a now. */
void observe(LoadEstimate&, uint64_t count, base::TimePoint now);

}
