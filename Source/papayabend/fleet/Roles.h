#pragma once

#include "papayabend/fleet/FleetView.h"

#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** Number of hosts of a small fleet that watch the store; each pushes changes to all others. */
constexpr size_t smallFleetReaders = 2;

/** Returns whether this host should watch the store.
 *
 * Small fleet: the first smallFleetReaders hosts in an order by hash, in different failure domains if possible. Large
 * fleet: the first host of each failure domain. Hosts that the store has recently failed to answer are last in that
 * order. Hosts may have different views of the fleet; a superfluous reader only costs calls to the store.
 */
bool isReader(const FleetView&, base::TimePoint now);

/** Returns the peer addresses that this host pushes its changes to: those of all other live hosts, or in a large fleet
 * of those in its failure domain. */
std::vector<std::string> pushTargets(const FleetView&, base::TimePoint now);

/** \struct ServingSettings
 * \brief Settings that determine how many hosts callers are sent to.
 */
struct ServingSettings {
    uint32_t hostsPerDomain { 3 }; /**< Minimum for each failure domain. */
    uint32_t attemptsPerCore { 6000 }; /**< Attempts per second that a core can carry; more load needs more hosts. */
    /** Weak hosts serve only if the strong ones of their failure domain do not suffice. */
    bool prefersStrongHosts { false };
};

/** \struct DomainRoom
 * \brief Load of a failure domain and what its ready hosts can carry, in attempts per second.
 */
struct DomainRoom {
    uint64_t load { 0 };
    uint64_t capacity { 0 };
    bool hasRoom() const { return load < capacity; }
};

/** Returns the hosts of \a failureDomain that callers are sent to; hosts with equal views of the fleet agree on them.
 *
 * These are ready hosts, as many as the load of the failure domain needs: with fewer hosts, each has more connections
 * to an upstream and observes more of its load. Hosts with more capacity are preferred, in classes of a factor of two.
 * Inside a class a hash decides, so that the loss of a host does not replace any other one.
 *
 * With prefersStrongHosts, and if the failure domain has weak hosts, these are as few of its strong hosts as can carry
 * its load and an equal part of the load of another failure domain that is lost. Weak hosts are included only if the
 * strong ones cannot carry the present load, or if there are fewer than two of them.
 */
std::vector<const Heartbeat*> servingHosts(
    const FleetView&, std::string_view failureDomain, const ServingSettings&, base::TimePoint now);

/** \struct ServingDomain
 * \brief Hosts of a failure domain that callers are sent to, and its room if callers choose evenly among its hosts.
 */
struct ServingDomain {
    std::vector<const Heartbeat*> hosts;
    DomainRoom room;
};

/** Returns the servingHosts() of \a failureDomain and its room. */
ServingDomain servingDomain(
    const FleetView&, std::string_view failureDomain, const ServingSettings&, base::TimePoint now);

/** Returns the number of hosts that callers are sent to, over all failure domains; at least 1. */
size_t servingCount(const FleetView&, const ServingSettings&, base::TimePoint now);

/** Returns whether callers are sent to this host. */
bool isServing(const FleetView&, const ServingSettings&, base::TimePoint now);

}
