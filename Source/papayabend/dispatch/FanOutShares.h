#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayabend::dispatch {

/** \struct TrafficClass
 * \brief On whose behalf a request runs, and how urgent it is.
 */
struct TrafficClass {
    std::string account;
    double weight { 1 }; /**< Of the account, in relation to the others. */
    uint32_t priority { 0 }; /**< 0 is the most urgent. */
};

/** \struct FanOutPlaces
 * \brief Fan-outs that a traffic class may run at once.
 */
struct FanOutPlaces {
    double entitled { 0 }; /**< Its part by weight. */
    double lent { 0 }; /**< What others leave on top. */
};

/** \class FanOutShares
 * \brief Divides the fan-outs that may run at once over client accounts by weight, and inside an account by priority.
 *
 * Answers load beyond a bound: without it the requests that arrive most often take all places. What one account or
 * priority does not want goes to the others, but for the last places, which stay free for those that have not used
 * their part. A less urgent priority keeps a part, so that none starves. Demand is the rate of arrivals times the mean
 * time that a fan-out runs. Not safe for use by several threads.
 */
class FanOutShares {
public:
    /** Share of a priority in relation to the next less urgent one. */
    static constexpr double priorityFactor = 3;
    /** Share of all places that are not lent. */
    static constexpr double reserve = 0.125;
    /** Time in which an arrival loses two thirds of its part in the estimate of the demand. */
    static constexpr base::Duration memory { std::chrono::seconds(1) };

    /** Counts the arrival of a request, whether it may run or not. */
    void addArrival(const TrafficClass&, base::TimePoint now);
    /** Returns whether the traffic class may start a fan-out while \a limit may run at once for all. */
    bool mayBegin(const TrafficClass&, double limit, base::TimePoint now) const;
    void begin(const TrafficClass&);
    void end(const TrafficClass&, base::Duration runTime);
    uint32_t running(const TrafficClass&) const;
    uint32_t running() const { return m_running; }

private:
    struct Part {
        double arrivals { 0 }; /**< Decayed count, as of countedAt. */
        base::TimePoint countedAt {};
        uint32_t running { 0 };
    };
    struct Account {
        double weight { 1 };
        std::map<uint32_t, Part> parts; /**< By priority. */
    };

    FanOutPlaces placesOf(const TrafficClass&, double limit, base::TimePoint now) const;
    /** Fan-outs that the part wants to run at once. */
    double demand(const Part&, base::TimePoint now) const;
    void forgetIdle(base::TimePoint now);

    std::map<std::string, Account, std::less<>> m_accounts;
    double m_runSeconds { 0 }; /**< Running mean. */
    uint32_t m_running { 0 };
    base::TimePoint m_sweptAt {};
};

}
