#pragma once

#include "papayabend/fleet/FleetView.h"

#include <optional>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** Number of hosts of a small fleet that watch the store; each pushes changes to all others. */
constexpr size_t smallFleetReaders = 2;

/** Returns the hosts of \a heartbeats that may read the store, in order of preference: by hash, with those that the
 * store has recently failed to answer last. Leaving hosts are left out. */
std::vector<const Heartbeat*> readerOrder(std::vector<const Heartbeat*> heartbeats);

/** Returns the chosen readers of a small fleet, given in order of preference: the first smallFleetReaders hosts, in
 * different failure domains if possible. */
std::vector<const Heartbeat*> smallFleetReadersOf(const std::vector<const Heartbeat*>& order);

/** \struct ReaderRole
 * \brief Whether and how a host should watch the store.
 */
struct ReaderRole {
    std::optional<size_t> rank; /**< Position among the chosen readers; empty if it is not one of them. */
    size_t readers { 0 }; /**< Number of chosen readers. */
};

/** Returns the role of this host.
 *
 * The chosen readers of a large fleet are the first host of each failure domain, or the first two if there is only one
 * failure domain. Hosts may have different views of the fleet; a superfluous reader only costs calls to the store.
 */
ReaderRole readerRole(const FleetView&, base::TimePoint now);

/** Returns whether this host is a chosen reader. */
bool isReader(const FleetView&, base::TimePoint now);

/** \struct ReaderSlot
 * \brief Position of a host among those that may read the store when no confirmation arrives.
 */
struct ReaderSlot {
    size_t position { 0 };
    size_t count { 1 };
};

/** Returns this host's position among the live hosts of the fleet, or in a large fleet of its failure domain. The order
 * is that in which readers are chosen; a leaving host is last. */
ReaderSlot readerSlot(const FleetView&, base::TimePoint now);

/** Returns the peer addresses that this host pushes its changes to: those of all other live hosts, or in a large fleet
 * of those in its failure domain. */
std::vector<std::string> pushTargets(const FleetView&, base::TimePoint now);

/** Returns the peer addresses of the hosts that a chosen reader informs of an answer of the store: pushTargets(), and
 * in a large fleet the chosen readers of the other failure domains, which pass it on. */
std::vector<std::string> confirmationTargets(const FleetView&, base::TimePoint now);

/** Size of a failure domain up to which a reader passes on the confirmations of other failure domains. Heartbeats
 * spread them faster in a larger one, where the messages would exceed the control traffic of the reader's host. */
constexpr size_t maxForwardingDomain = 64;
/** A reader passes on a confirmation that is newer by this than the last one it has sent. With 750 ms, hosts of 3
 * failure domains reached an age of 2.2 s without any disturbance. */
constexpr base::Duration forwardingStep { std::chrono::milliseconds(400) };

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
