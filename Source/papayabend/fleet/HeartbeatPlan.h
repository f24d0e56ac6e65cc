#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/fleet/FleetView.h"

#include <span>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct PlannedHeartbeat
 * \brief A datagram to send: this host's heartbeat and those that it passes on.
 */
struct PlannedHeartbeat {
    std::string address;
    std::vector<Heartbeat> relayed;
};

/** Returns the datagrams of a round.
 *
 * Small fleet: to every host, and to one of them with all live heartbeats. Large fleet: to the hosts of the own failure
 * domain, with some heartbeats of others, and to one host of another failure domain with heartbeats of the own one. The
 * cost of a round grows with the size of a failure domain, not of the fleet. Seeds are asked until another host is
 * known, and then seldom, to join the halves of a fleet that was parted.
 */
std::vector<PlannedHeartbeat> planHeartbeats(
    const FleetView&, std::span<const std::string> seeds, uint64_t round, base::Random&, base::TimePoint now);

}
