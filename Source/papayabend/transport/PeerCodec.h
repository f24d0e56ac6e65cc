#pragma once

#include "papayabend/engine/PeerMessage.h"

#include "peer.pb.h"

namespace papayabend::transport {

/** Converts a control message to its wire form. */
protocol::PeerEnvelope toEnvelope(const engine::PeerMessage&);

/** Converts a received envelope. Unknown enumerators become the most cautious known one. */
engine::PeerMessage fromEnvelope(const protocol::PeerEnvelope&);

}
