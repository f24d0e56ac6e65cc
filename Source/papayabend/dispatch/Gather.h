#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>

namespace papayabend::dispatch {

/** \struct GatherState
 * \brief Progress of a fan-out.
 */
struct GatherState {
    uint32_t shards { 0 };
    uint32_t answered { 0 };
    uint32_t failed { 0 }; /**< Shards that may not be attempted any more. */
};

/** \struct GatherTimes
 * \brief Times that decide when a fan-out ends.
 */
struct GatherTimes {
    base::TimePoint objectiveAt; /**< From this time on, the minimum share of shards is enough for an answer. */
    base::TimePoint limitAt; /**< From this time on, no shard is awaited. */
};

/** \enum GatherStep
 * \brief Next step of a fan-out.
 */
enum class GatherStep : uint8_t {
    Wait,
    Answer,
    Fail, /**< Too few shards have answered in time, or too many have failed for the minimum share. */
};

/** Returns whether \a answered is at least \a minShare of \a shards, and at least 1. */
bool isEnough(uint32_t answered, uint32_t shards, double minShare);

/** Decides whether to wait for more shards, to answer with those that have answered, or to fail. */
GatherStep decideGather(const GatherState&, double minShare, const GatherTimes&, base::TimePoint now);

}
