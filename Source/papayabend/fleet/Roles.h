#pragma once

#include "papayabend/fleet/FleetView.h"

#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** Hosts of a small fleet that watch the store; each tells the others. */
constexpr size_t smallFleetReaders = 2;

/** Returns whether this host should watch the store.
 *
 * Small fleet: the first hosts in an order by hash, in different failure domains where possible. Large fleet: the first
 * host of each failure domain. Hosts that the store does not answer are passed over, unless it answers none. Views of
 * the fleet may differ; a reader too many costs calls only.
 */
bool isReader(const FleetView&, base::TimePoint now);

/** Returns the hosts that this host tells of changes when it is a reader: all, or those of its failure domain. */
std::vector<std::string> pushTargets(const FleetView&, base::TimePoint now);

/** \struct ServingSettings
 * \brief How many hosts callers are sent to.
 */
struct ServingSettings {
    uint32_t hostsPerDomain { 3 }; /**< At least. */
    uint32_t attemptsPerCore { 6000 }; /**< Attempts a second for each core before one more host is taken. */
};

/** Returns the ready hosts of \a failureDomain that callers are sent to, the same on every host with the same view.
 *
 * As many as the load of the failure domain needs. Fewer hosts have more connections to each upstream and see more of
 * its load. Hosts with more capacity are taken first, in classes of a factor of two; inside a class a hash decides, so
 * that the loss of a host moves no other.
 */
std::vector<const Heartbeat*> servingHosts(
    const FleetView&, std::string_view failureDomain, const ServingSettings&, base::TimePoint now);

/** Returns the number of hosts that callers are sent to, over all failure domains; at least 1. */
size_t servingCount(const FleetView&, const ServingSettings&, base::TimePoint now);

/** Returns whether this host is one that callers are sent to. */
bool isServing(const FleetView&, const ServingSettings&, base::TimePoint now);

}
