#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace papayabend::replay {

/** \struct ServiceTime
 * \brief Distribution of the time for which a call holds a slot: lognormal with a share of stragglers.
 */
struct ServiceTime {
    base::Duration median { 5'000 };
    double sigma { 0.3 }; /**< Standard deviation of the logarithm. 0: every call takes the median. */
    double stragglerShare { 0 };
    double stragglerFactor { 20 }; /**< Applied to the median. */
};

/** \struct Upstream
 * \brief Upstream fake: slots, a bounded first-in-first-out queue and connections.
 */
struct Upstream {
    std::string name;
    std::string address;
    uint32_t domain { 0 };
    uint32_t slots { 1 };
    uint32_t queueBound { 64 }; /**< Calls that wait; further calls are shed. */
    uint32_t connectionLimit { 25 };
    base::Duration connectTime {};
    double slowdown { 1 }; /**< Factor on every service time. */
    double coldFactor { 1 }; /**< Factor on service times while cold. */
    base::Duration coldTime {}; /**< Time after a restart for which the upstream is cold. */

    bool isUp { true };
    bool isDraining { false };
    bool isShedding { false };
    base::TimePoint startedAt {};
    uint32_t connections { 0 };
    uint32_t busy { 0 };
    std::deque<uint32_t> queue; /**< Call slots; entries of ended calls are skipped. */
    uint32_t queued { 0 };
    std::vector<uint32_t> open; /**< Call slots that wait or run. */
    std::vector<std::pair<std::string, uint64_t>> droppedSnapshots; /**< Service and snapshot. */

    uint64_t callsStarted { 0 };
    uint64_t callsShed { 0 };
    uint64_t crashes { 0 }; /**< Losses caused by a request. */
    base::Duration busyTime {};
};

/** Returns the service time of one call. \a key identifies the call and is the only source of randomness. */
base::Duration serviceTimeOf(const ServiceTime&, uint64_t key);

}
