#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/dispatch/FanOutShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::dispatch {

/** \struct FanOutSample
 * \brief Times of a fan-out relative to its latency objective.
 */
struct FanOutSample {
    double half { 0 }; /**< Time within which half of the shards answered. */
    double whole { 0 }; /**< Time within which the least share of the shards answered, or that has passed without it. */
    bool isLost { false }; /**< It failed because shards turned it away. */
};

/** \struct AdmissionNotice
 * \brief What a host has learned of the fan-outs that a set of shards can bear.
 */
struct AdmissionNotice {
    uint32_t shards { 0 }; /**< Hash of the name of the set. */
    double bound { 0 }; /**< Fan-outs that all hosts together may run at once. */
    double samplesPerSecond { 0 }; /**< Evidence behind the bound. */
};

/** Returns the notices in a form of 10 bytes each. */
std::string encodeNotices(std::span<const AdmissionNotice>);

/** Reads what encodeNotices() has written; skips notices whose values are out of range. */
std::vector<AdmissionNotice> decodeNotices(std::string_view);

/** \class FleetAdmission
 * \brief Limits the fan-outs that all hosts together run at once over one set of shards.
 *
 * Each host learns the bound from its own fan-outs, by additive increase and multiplicative decrease, and averages it
 * with the bounds that others state. It runs the part of the bound that its share of the demand warrants, which may be
 * less than one fan-out. The priority with the least time relative to its objective decides, so that the queues of the
 * shards stay as short as the most urgent requests need. FanOutShares divides the part over accounts and priorities.
 * Not safe for use by several threads.
 */
class FleetAdmission {
public:
    /** Largest number of fan-outs that a host runs at once; it then has no processor time left. */
    static constexpr double maxLimit = 256;
    /** Times relative to the objective above which the bound decreases. A whole above 0.8 leaves too little for the way
     * back to the caller. */
    static constexpr double overloadHalfTime = 0.5;
    static constexpr double overloadWholeTime = 0.8;
    /** Load relative to that of an overload below which the bound grows. */
    static constexpr double growthLoad = 0.7;

    /** Sets this host's part of all bounds, in (0, 1]. */
    void setShare(double share) { m_share = share; }

    /** Counts a fan-out as running if the bound allows it. Otherwise returns the time after which there will be room.
     */
    std::optional<base::Duration> tryAcquire(
        std::string_view shards, const TrafficClass&, base::Random&, base::TimePoint now);
    /** Records the end of a fan-out that ran. */
    void release(std::string_view shards, const TrafficClass&, base::Duration runTime, base::TimePoint now);
    /** Records the times of a fan-out. */
    void observe(std::string_view shards, uint32_t priority, const FanOutSample&, base::TimePoint now);

    /** Returns whether extra attempts would increase the delay of all. */
    bool isOverloaded(std::string_view shards) const;
    /** Returns the number of fan-outs that this host may run at once. */
    double limit(std::string_view shards) const;
    /** Returns the number of sets of shards that have more work than they can do. */
    size_t overloadedSets(base::TimePoint now) const;
    /** Returns the lowest limit of any set of shards. */
    double smallestLimit() const;

    /** Returns what this host states to the others, at most \a count of the sets with the most evidence. */
    std::vector<AdmissionNotice> notices(size_t count, base::TimePoint now) const;
    /** Averages the bounds with those of other hosts; called every 250 ms with the notices of all live hosts. */
    void merge(std::span<const AdmissionNotice> others, base::TimePoint now);

private:
    /** \struct PriorityLoad
     * \brief Load that the fan-outs of one priority have met.
     */
    struct PriorityLoad {
        double mean { 0 }; /**< Running mean relative to that of an overload, as of sampledAt. */
        base::TimePoint sampledAt {};
        /** Shortest time of half of the shards in the present and the previous interval of shortestTime. */
        double shortest { 0 };
        double previousShortest { 0 };
        base::TimePoint shortestSince {};
    };

    struct State {
        FanOutShares shares;
        std::map<uint32_t, PriorityLoad> loads; /**< By priority. */
        double bound { 0 }; /**< Of all hosts; 0 until the first use. */
        double load { 0 }; /**< Highest of loads at the last sample. */
        double samples { 0 }; /**< Decayed count, as of sampledAt. */
        double ends { 0 }; /**< Decayed count of fan-outs that have ended, as of endedAt. */
        double meanRunSeconds { 0 };
        base::TimePoint sampledAt {};
        base::TimePoint endedAt {};
        base::TimePoint begunAt {}; /**< Begin of the newest fan-out. */
        base::TimePoint decreasedAt {};
        base::TimePoint roomAt {}; /**< Time that was promised to the last refused request. */
    };

    State& stateOf(std::string_view shards);
    static double loadOf(PriorityLoad&, const FanOutSample&, base::TimePoint now);

    std::unordered_map<std::string, State> m_states;
    double m_share { 1 };
};

}
