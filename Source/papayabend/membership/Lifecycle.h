#pragma once

#include "papayabend/membership/Observation.h"

#include <cstdint>
#include <string_view>

namespace papayabend::membership {

/** \enum Lifecycle
 * \brief Stage of a process between start and planned stop. A process never returns to an earlier stage.
 */
enum class Lifecycle : uint8_t {
    Starting, /**< Not ready to serve, for example because the table or the catalogue is missing. */
    Serving,
    Withdrawing, /**< Still serves, but its address is no longer returned to callers. */
    Draining, /**< Accepts no new requests. */
    HandingOver, /**< Transfers its ticket records to peers. */
    Stopped,
};

std::string_view toString(Lifecycle);

/** Returns the state that the host announces to its peers in a stage. */
HostState announcedState(Lifecycle);

/** Sets \a stage to \a next. Returns false and changes nothing if \a next is not a later stage. */
bool advance(Lifecycle& stage, Lifecycle next);

}
