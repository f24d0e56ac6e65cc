#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/dispatch/UpstreamLimits.h"
#include "papayabend/fleet/FleetView.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct HeartbeatMessage
 * \brief Datagram between hosts: the sender's own heartbeat first, then heartbeats of other hosts that it relays.
 */
struct HeartbeatMessage {
    std::vector<Heartbeat> heartbeats;
    std::vector<dispatch::CrashNotice> crashes;
    std::string changes; /**< Changes of the store's content as gateway::Content encodes them; usually empty. */
    std::vector<dispatch::LimitNotice> limits;
};

/** Returns the datagram in CBOR. */
std::string encodeHeartbeats(const HeartbeatMessage&);

/** Parses a datagram. If it returns nothing, the reason describes the error. */
std::optional<HeartbeatMessage> decodeHeartbeats(std::span<const uint8_t> bytes, base::LastReason& reason);

}
