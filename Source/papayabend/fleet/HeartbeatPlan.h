#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/fleet/FleetView.h"

#include <span>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct PlannedHeartbeat
 * \brief A datagram to send: this host's heartbeat and the heartbeats that it relays.
 */
struct PlannedHeartbeat {
    std::string address;
    std::vector<Heartbeat> relayed;
};

/** Returns the datagrams of a round.
 *
 * Small fleet: one to every host, one of which relays all live heartbeats. Large fleet, every other round for each
 * receiver: one to the hosts of the own failure domain, which relays some heartbeats of other failure domains, and one
 * to a single host of another failure domain, which relays heartbeats of the own one. The cost of a round thus grows
 * with the size of a failure domain, not with that of the fleet. Seeds receive datagrams until another host is known,
 * and rarely afterwards, so that the parts of a partitioned fleet find each other again.
 */
std::vector<PlannedHeartbeat> planHeartbeats(
    const FleetView&, std::span<const std::string> seeds, uint64_t round, base::Random&, base::TimePoint now);

}
