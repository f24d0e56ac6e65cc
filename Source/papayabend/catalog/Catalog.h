#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/UpstreamNames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::catalog {

/** \struct Upstream
 * \brief A back-end server as published by the platform.
 */
struct Upstream {
    UpstreamId id {};
    std::string name;
    std::string address; /**< IP address and port. */
    std::string failureDomain;
    uint32_t slots { 1 }; /**< Number of requests that the upstream runs concurrently. */
    uint32_t connectionLimit { 1 }; /**< Number of connections that the upstream accepts from all hosts together. */
    base::Duration connectTime {}; /**< Usual time to open a connection. */
    bool isLeaving { false };
};

/** \struct Shard
 * \brief A part of a snapshot. Each of the listed replicas holds all of it.
 */
struct Shard {
    std::string name;
    uint64_t units { 0 }; /**< Documents in the shard; coverage is counted in them. */
    std::vector<UpstreamId> replicas;
};

/** \struct Snapshot
 * \brief A version of a sharded service's index, with its own shard map.
 */
struct Snapshot {
    uint64_t id { 0 };
    std::vector<Shard> shards;
};

/** \enum ServiceKind
 * \brief How the upstreams of a service divide its requests.
 */
enum class ServiceKind : uint8_t {
    Sharded, /**< A request goes to one replica of every shard. */
    Pooled, /**< A request goes to one upstream of the pool. */
};

/** \struct Service
 * \brief A sharded collection or a pool of upstreams; the table of weights and limits has one column for it.
 */
struct Service {
    std::string name;
    ServiceKind kind { ServiceKind::Sharded };
    std::vector<Snapshot> snapshots; /**< Newest first; empty for a pool. */
    std::vector<UpstreamId> pool; /**< Empty for a sharded service. */
};

/** \struct Catalog
 * \brief Upstreams and services as published by the platform. Immutable once parsed.
 */
struct Catalog {
    uint64_t version { 0 };
    uint64_t contentHash { 0 };
    std::vector<Upstream> upstreams;
    std::vector<Service> services;
};

/** Parses the published JSON and assigns numbers to new upstreams. Rejects the whole catalogue on the first error and
 * describes it in \a reason.
 */
std::optional<Catalog> parseCatalog(std::string_view text, UpstreamNames& names, base::LastReason& reason);

/** Returns the service named \a name, or null. */
const Service* findService(const Catalog&, std::string_view name);

/** Returns the upstream with number \a id, or null if the catalogue does not list it. */
const Upstream* findUpstream(const Catalog&, UpstreamId id);

}
