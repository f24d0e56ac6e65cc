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
 * \brief One back-end server as the platform publishes it.
 */
struct Upstream {
    UpstreamId id {};
    std::string name;
    std::string address; /**< IP address and port. */
    std::string failureDomain;
    uint32_t slots { 1 }; /**< Requests that run at the same time. */
    uint32_t connectionLimit { 1 }; /**< Connections accepted from all hosts together. */
    base::Duration connectTime {}; /**< Usual time to open a connection. */
    bool isLeaving { false };
};

/** \struct Shard
 * \brief One part of a snapshot, held by every replica listed.
 */
struct Shard {
    std::string name;
    uint64_t units { 0 }; /**< Documents in the shard; coverage is counted in them. */
    std::vector<UpstreamId> replicas;
};

/** \struct Snapshot
 * \brief One version of a sharded service's index with its own shard map.
 */
struct Snapshot {
    uint64_t id { 0 };
    std::vector<Shard> shards;
};

enum class ServiceKind : uint8_t {
    Sharded, /**< A request goes to one replica of every shard. */
    Pooled, /**< A request goes to one upstream of the pool. */
};

/** \struct Service
 * \brief One column of the table: a sharded collection or a pool of upstreams.
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

/** Parses the published JSON. Fails with the name of the first entry that is not valid. */
std::optional<Catalog> parseCatalog(std::string_view text, UpstreamNames& names, base::LastReason& reason);

/** Returns the service called \a name, or null. */
const Service* findService(const Catalog&, std::string_view name);

/** Returns the upstream with number \a id, or null if the catalogue does not list it. */
const Upstream* findUpstream(const Catalog&, UpstreamId id);

}
