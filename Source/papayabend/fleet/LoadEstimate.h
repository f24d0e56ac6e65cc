#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>

namespace papayabend::fleet {

/** \struct LoadEstimate
 * \brief Rate of a counter: it rises at once and decays slowly, so that roles that depend on it seldom change.
 */
struct LoadEstimate {
    double perSecond { 0 };
    uint64_t count { 0 }; /**< Value of the counter at countedAt. */
    base::TimePoint countedAt {};
};

/** Minimum time between two observations; earlier ones are ignored. */
constexpr base::Duration minLoadInterval { std::chrono::seconds(1) };

/** Time in which the estimate decays to a half after the load has ended. */
constexpr base::Duration loadHalfLife { std::chrono::seconds(20) };

/** Updates the estimate with the value of the counter at \a now. */
void observe(LoadEstimate&, uint64_t count, base::TimePoint now, base::Duration halfLife = loadHalfLife);

}
