#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayabend::dispatch {

/** \struct TrafficClass
 * \brief The client account on whose behalf a request runs, and the priority of the request.
 */
struct TrafficClass {
    std::string account;
    double weight { 1 }; /**< Of the account, relative to the others. */
    uint32_t priority { 0 }; /**< 0 is the most urgent. */
};

/** \struct FanOutAllowance
 * \brief Number of fan-outs that a traffic class may run at once.
 */
struct FanOutAllowance {
    double guaranteed { 0 }; /**< Its share by weight. */
    double borrowable { 0 }; /**< What other traffic classes leave unused. */
};

/** \class FanOutShares
 * \brief Divides the fan-outs that may run at once over client accounts by weight, and inside an account by priority.
 *
 * Under overload, the accounts that send the most requests would otherwise occupy the whole limit. What an account or
 * priority does not need may be borrowed by the others, except for reservedShare of the limit, which stays free for
 * those below their guaranteed share. Every priority has a guaranteed share, so that the less urgent ones do not
 * starve. The demand is the arrival rate times the mean run time of a fan-out. Not safe for use by several threads.
 */
class FanOutShares {
public:
    /** Share of a priority relative to that of the next less urgent one. */
    static constexpr double priorityFactor = 3;
    /** Part of the limit that may not be borrowed. */
    static constexpr double reservedShare = 0.125;
    /** Time constant of the arrival counts: after it, an arrival counts for 1/e. */
    static constexpr base::Duration arrivalTimeConstant { std::chrono::seconds(1) };

    /** Counts the arrival of a request, whether it may run or not. */
    void addArrival(const TrafficClass&, base::TimePoint now);
    /** Returns whether the traffic class may start a fan-out while all classes together may run \a limit at once. */
    bool mayBegin(const TrafficClass&, double limit, base::TimePoint now) const;
    void begin(const TrafficClass&);
    void end(const TrafficClass&, base::Duration runTime);
    uint32_t running(const TrafficClass&) const;
    uint32_t running() const { return m_running; }

private:
    struct PriorityState {
        double arrivals { 0 }; /**< Decayed count, as of countedAt. */
        base::TimePoint countedAt {};
        uint32_t running { 0 };
    };
    struct Account {
        double weight { 1 };
        std::map<uint32_t, PriorityState> priorities;
    };

    FanOutAllowance allowanceOf(const TrafficClass&, double limit, base::TimePoint now) const;
    /** Returns the number of fan-outs that requests of the priority need at once, at least those that are running. */
    double demand(const PriorityState&, base::TimePoint now) const;
    void removeIdle(base::TimePoint now);

    std::map<std::string, Account, std::less<>> m_accounts;
    double m_meanRunSeconds { 0 };
    uint32_t m_running { 0 };
    base::TimePoint m_sweptAt {};
};

}
