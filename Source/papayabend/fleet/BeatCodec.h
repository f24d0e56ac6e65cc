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
 * \brief Datagram between hosts: the sender's own beat first, then beats that it passes on.
 */
struct BeatMessage {
    std::vector<HostBeat> beats;
    std::vector<dispatch::CrashNote> crashes;
    std::string changes; /**< Changes of the store's content, encoded by their owner; mostly empty. */
};

/** Returns the datagram, as CBOR. */
std::string encodeBeats(const BeatMessage&);

/** Parses a datagram; the reason says what is wrong with it. */
std::optional<BeatMessage> decodeBeats(std::span<const uint8_t> bytes, base::LastReason& reason);

}
