#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/fleet/FleetView.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct HeartbeatMessage
 * \brief Datagram between hosts: the sender's own heartbeat first, then heartbeats that it passes on.
 */
struct HeartbeatMessage {
    std::vector<Heartbeat> heartbeats;
    std::vector<dispatch::CrashNotice> crashes;
    std::string changes; /**< Changes of the store's content, encoded by their owner; mostly empty. */
};

/** Returns the datagram, as CBOR. */
std::string encodeHeartbeats(const HeartbeatMessage&);

/** Parses a datagram; the reason says what is wrong with it. */
std::optional<HeartbeatMessage> decodeHeartbeats(std::span<const uint8_t> bytes, base::LastReason& reason);

}
