#pragma once

#include "papayabend/fleet/FleetView.h"

#include <string>

/** Returns the heartbeat of a ready host whose addresses follow from its name. */
inline papayabend::fleet::Heartbeat hostHeartbeat(
    const std::string& name, const std::string& domain, uint64_t incarnation = 1, uint64_t sequence = 1)
{
    papayabend::fleet::Heartbeat heartbeat;
    heartbeat.name = name;
    heartbeat.callerAddress = "callers." + name;
    heartbeat.peerAddress = "peers." + name;
    heartbeat.failureDomain = domain;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.stage = papayabend::fleet::HostStage::Ready;
    return heartbeat;
}
