#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/dispatch/FanOutShares.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \class ConcurrencyLimiter
 * \brief Limits the fan-outs that this host runs at once over one set of shards.
 *
 * Beyond the capacity of the shards, each further fan-out delays all others until none is answered in time. The limiter
 * detects this by the time within which half of the shards answer, relative to the latency objective; a few slow
 * upstreams do not affect it. While that time is long, the limit decreases by a factor; while it is short, the limit
 * grows by one for each limit's worth of fan-outs. FanOutShares divides the limit over accounts and priorities. Not
 * safe for use by several threads.
 */
class ConcurrencyLimiter {
public:
    /** Limit without overload; a host that runs this many fan-outs has no processor time left. */
    static constexpr double maxLimit = 256;
    /** Relative time of half of the shards above which the limit decreases. */
    static constexpr double overloadTime = 0.5;
    /** Relative time of half of the shards below which the limit grows. */
    static constexpr double growthTime = 0.35;
    /** Relative time that is recorded for a fan-out which overload has kept from its shards; longer times count as this
     * one. The limit decreases at once, by a larger factor. */
    static constexpr double lostTime = 2;

    /** Counts a fan-out as running if the limit allows it; returns whether it may run. */
    bool tryAcquire(std::string_view shards, const TrafficClass&, base::TimePoint now);
    /** Records the end of a fan-out that ran. */
    void release(std::string_view shards, const TrafficClass&, base::Duration runTime);

    /** Records the time within which half of the shards of a fan-out answered, relative to the latency objective. */
    void observe(std::string_view shards, double relativeTime, base::TimePoint now);

    /** Returns whether the shards have more work than they can do, so that extra attempts would increase the delay. */
    bool isOverloaded(std::string_view shards) const;
    double limit(std::string_view shards) const;

private:
    struct State {
        FanOutShares shares;
        double limit { maxLimit };
        double relativeTime { 0 }; /**< Running mean. */
        base::TimePoint decreasedAt {};
    };
    std::unordered_map<std::string, State> m_states;
};

}
