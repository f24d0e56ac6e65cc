#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/dispatch/FanOutShares.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \class ConcurrencyLimiter
 * \brief Bounds the fan-outs that this host runs at once over one set of shards.
 *
 * Answers load beyond what the shards can run: each further fan-out then delays all others until none is in time. The
 * sign is the time in which half of the shards answer, in relation to the latency objective; a few slow upstreams do
 * not move it. The bound falls in steps while that time is long and grows again by one for a bound's worth of good
 * answers. FanOutShares divides it over accounts and priorities. Not safe for use by several threads.
 */
class ConcurrencyLimiter {
public:
    /** Bound without any sign of overload; a host that runs this many would be out of processor time. */
    static constexpr double maxLimit = 256;
    /** Relative time of half of the shards above which the bound falls, and below which it may grow. */
    static constexpr double highTime = 0.5;
    static constexpr double lowTime = 0.35;

    /** Counts a fan-out if the bound allows it; returns whether it may run. */
    bool tryAcquire(std::string_view shards, const TrafficClass&, base::TimePoint now);
    /** Records the end of a fan-out that ran. */
    void release(std::string_view shards, const TrafficClass&, base::Duration runTime);

    /** Records the time in which half of the shards of a fan-out answered, as a part of the objective. */
    void observe(std::string_view shards, double time, base::TimePoint now);

    /** Returns whether the shards have more work than they can do; extra attempts would add to it. */
    bool isOverloaded(std::string_view shards) const;
    double limit(std::string_view shards) const;

private:
    struct State {
        FanOutShares shares;
        double limit { maxLimit };
        double time { 0 }; /**< Running mean of the relative times. */
        base::TimePoint cutAt {};
    };
    std::unordered_map<std::string, State> m_states;
};

}
