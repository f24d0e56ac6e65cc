#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/fleet/FleetView.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct BeatMessage
 * \brief Datagram between hosts: the sender's own heartbeat first, then heartbeats of other hosts that it relays.
 */
struct BeatMessage {
    std::vector<HostBeat> beats;
    std::vector<dispatch::CrashNote> crashes;
    std::string changes; /**< Changes of the store's content as gateway::Content encodes them; usually empty. */
};

/** Returns the datagram in CBOR. */
std::string encodeBeats(const BeatMessage&);

/** Parses a datagram. If it returns nothing, the reason describes the error. */
std::optional<BeatMessage> decodeBeats(std::span<const uint8_t> bytes, base::LastReason& reason);

}
