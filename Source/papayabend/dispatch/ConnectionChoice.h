#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace papayabend::dispatch {

/** \struct ConnectionState
 * \brief Open connection to an upstream, as far as the choice for an attempt depends on it.
 */
struct ConnectionState {
    uint64_t number { 0 }; /**< Tells the connections of this process apart; never used again. */
    bool isIdle { false };
    base::TimePoint idleSince {};
    std::optional<base::TimePoint> idleUntil; /**< The upstream may close the connection afterwards. */
};

/** \struct ConnectionNeeds
 * \brief What an attempt asks of its connection.
 */
struct ConnectionNeeds {
    /** The request cannot be repeated: the connection must have been used within freshTime. */
    bool isFresh { false };
    /** Numbers of the connections on which earlier attempts of the request were sent.
     *
     * All attempts of a request have the same id. An upstream that repeats the answer to an earlier one sends it on the
     * connection of that attempt, where it could not be told from the answer to the next.
     */
    std::span<const uint64_t> used;
};

/** A request that cannot be repeated is sent on a connection that was used this recently, or on a new one. */
constexpr base::Duration freshTime { std::chrono::milliseconds(900) };

/** Returns the index of the connection to send an attempt on: of the suitable ones the one that was used last, so that
 * surplus connections reach their idle limit. */
std::optional<size_t> chooseConnection(std::span<const ConnectionState>, const ConnectionNeeds&, base::TimePoint now);

}
