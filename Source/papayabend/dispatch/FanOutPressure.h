#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>

namespace papayabend::dispatch {

/** \struct FanOutProgress
 * \brief What a fan-out has seen of its shards so far.
 */
struct FanOutProgress {
    uint32_t shards { 0 };
    uint32_t answered { 0 };
    uint32_t failed { 0 }; /**< Shards that may not be attempted any more. */
    uint32_t turnedAway { 0 }; /**< Failed shards of which an upstream refused an attempt for lack of room. */
    base::Duration elapsed { 0 };
    base::Duration objective { 0 };
    bool hasFailed { false }; /**< The fan-out ends without an answer. */
};

/** Returns the load that a fan-out has met, as ConcurrencyLimiter::observe() takes it, or nothing while it is open.
 *
 * This is the time in which half of the shards answered, relative to the objective. Upstreams without room refuse at
 * once, so a fan-out that fails because shards have turned it away met overload however early it ends. One that fails
 * for other reasons before half of the shards have answered says nothing about the load.
 */
std::optional<double> loadMet(const FanOutProgress&);

}
