#pragma once

#include "replay/Simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::replay {

/** \struct ServiceShape
 * \brief Size of one service as in section 1 of docs/design.md.
 */
struct ServiceShape {
    std::string name;
    uint32_t shards { 0 }; /**< 0: a pool. */
    uint32_t upstreams { 2 }; /**< Per shard, or of the pool. */
    uint32_t slots { 2 };
    uint32_t connectionLimit { 25 };
    Duration connectTime { 6'000 };
    ServiceTime serviceTime;
};

/** \struct Deployment
 * \brief Failure domains, hosts and services of one user.
 */
struct Deployment {
    std::string name;
    std::vector<std::string> domains;
    Duration remoteDelay {};
    Duration callerDelay {};
    uint32_t hosts { 6 };
    std::string account; /**< The user's own client account. */
    std::vector<ServiceShape> services;
};

Deployment muscat();
Deployment sul();

/** Returns the shape called \a name; throws std::out_of_range if there is none. */
const ServiceShape& shapeOf(const Deployment&, const std::string& name);

/** Returns the name of the upstream that holds \a replica of \a shard; a pool has the one shard 0. */
std::string upstreamName(const ServiceShape&, uint32_t shard, uint32_t replica);

/** Returns the catalogue as the platform publishes it. Replicas of a shard are in different failure domains. */
std::string catalogText(const Deployment&, uint64_t version = 1, uint64_t snapshot = 1);

/** Returns a table that grants \a accounts, all of weight 1, access to every service. */
std::string tableText(const Deployment&, const std::vector<std::string>& accounts, uint64_t version = 1);

/** Mean time for which a call of the service holds a slot. */
Duration meanServiceTime(const ServiceTime&);

/** Requests per second that the slots of the service can run. */
double capacityOf(const ServiceShape&);

/** Fills the simulation with the deployment, publishes its catalogue, and a table unless one is published already,
 * starts the hosts and runs until they serve. */
void setUp(Simulation&, const Deployment&);

}
