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
    uint32_t failed { 0 }; /**< Shards for which no attempt is left. */
};

/** \struct GatherTimes
 * \brief Moments at which a fan-out is decided.
 */
struct GatherTimes {
    base::TimePoint objective; /**< An answer that is complete enough is given, though shards are outstanding. */
    base::TimePoint limit; /**< Nothing is awaited any longer. */
};

/** \enum GatherStep
 * \brief What to do with a fan-out.
 */
enum class GatherStep : uint8_t {
    Wait,
    Answer,
    Fail, /**< The least share can no longer be reached. */
};

/** Returns whether \a answered of \a shards reach \a minShare; an answer needs one shard at least. */
bool isEnough(uint32_t answered, uint32_t shards, double minShare);

/** Decides whether to wait for more shards, to answer with those at hand, or to give up. */
GatherStep decideGather(const GatherState&, double minShare, const GatherTimes&, base::TimePoint now);

}
