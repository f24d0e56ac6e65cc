#pragma once

#include "papayabend/fleet/FleetView.h"

#include <string>

/** Returns the heartbeat of a ready host with addresses that are derived from its name. */
inline papayabend::fleet::HostBeat hostBeat(
    const std::string& name, const std::string& domain, uint64_t incarnation = 1, uint64_t sequence = 1)
{
    papayabend::fleet::HostBeat beat;
    beat.name = name;
    beat.callerAddress = "callers." + name;
    beat.peerAddress = "peers." + name;
    beat.failureDomain = domain;
    beat.incarnation = incarnation;
    beat.sequence = sequence;
    beat.stage = papayabend::fleet::HostStage::Ready;
    return beat;
}
