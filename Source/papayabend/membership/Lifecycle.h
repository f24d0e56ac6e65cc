#pragma once

#include "papayabend/membership/Observation.h"

#include <cstdint>
#include <string_view>

namespace papayabend::membership {

/** \enum Lifecycle
 * \brief Stage of a process between start and planned stop. It only advances.
 */
enum class Lifecycle : uint8_t {
    Starting, /**< Has no values yet. */
    Serving,
    Withdrawing, /**< Serves, and is no longer named to callers. */
    Draining, /**< Takes no new work. */
    HandingOver, /**< Passes its ticket records to peers. */
    Stopped,
};

std::string_view toString(Lifecycle);

/** Returns what the host announces of itself in the stage. */
HostState announcedState(Lifecycle);

/** Moves \a stage forward to \a next; returns false and changes nothing if that would be a step back. */
bool advance(Lifecycle& stage, Lifecycle next);

}
