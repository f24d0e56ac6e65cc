#pragma once

#include "standin/StandinSettings.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayabend::standin {

/** \struct UpstreamShape
 * \brief Fixed properties of one upstream.
 */
struct UpstreamShape {
    std::string name;
    std::string failureDomain;
    uint32_t slots { 1 };
    uint32_t connectionLimit { 1 };
    base::Duration connectTime {};
    std::string address; /**< Set once the upstream listens. */
};

/** \struct ServiceShape
 * \brief One service with the upstreams that hold it.
 */
struct ServiceShape {
    std::string name;
    bool isPool { false };
    std::vector<size_t> upstreams; /**< Replicas of shard n are entries 2n and 2n + 1. */
    std::vector<std::pair<uint64_t, size_t>> snapshots; /**< Number and shard count, newest first. */
};

/** \struct Deployment
 * \brief Upstreams and services in the shape of one user's deployment.
 */
struct Deployment {
    std::vector<UpstreamShape> upstreams;
    std::vector<ServiceShape> services;
    uint64_t catalogVersion { 1 };
    uint32_t unitsPerShard { 0 };
};

Deployment makeDeployment(const StandinSettings&);

/** Returns the upstreams that hold shard \a n of a snapshot of \a shards shards. */
std::vector<size_t> replicasOf(const ServiceShape&, size_t n, size_t shards);
/** Returns the documents of shard \a n; the total is equal for all snapshots of the service. */
uint64_t unitsOf(const Deployment&, const ServiceShape&, size_t n, size_t shards);
std::string shardName(size_t n);

/** Adds a snapshot of \a shards shards, keeps the last two and counts up the catalogue version. */
void addSnapshot(Deployment&, std::string_view service, size_t shards);

/** Returns the catalogue in its published form. */
std::string catalogOf(const Deployment&);

/** Shards by name that an upstream holds, with their documents, for each service and snapshot. */
using Holdings = std::map<std::pair<std::string, uint64_t>, std::map<std::string, uint64_t>>;
Holdings holdingsOf(const Deployment&, size_t upstream);

}
