#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/UpstreamTable.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace papayabend::routing {

/** \struct ReplicaQuery
 * \brief What one replica is wanted for.
 */
struct ReplicaQuery {
    std::span<const catalog::UpstreamId> replicas;
    std::span<const catalog::UpstreamId> excluded;
    uint64_t snapshot { 0 }; /**< 0: the service has no snapshots. */
    std::string_view key {}; /**< For Policy::Affinity. */
    std::string_view avoidedDomain {}; /**< Chosen only if no other domain has a replica. */
    bool isHedge { false }; /**< Never chooses an overloaded upstream. */
    bool mayExceedLimit { false }; /**< Chooses a full upstream if all are full. */
};

/** Returns whether an upstream may get new work now, whatever it has in flight. */
bool isUsable(UpstreamTable&, const catalog::Catalog&, catalog::UpstreamId, uint64_t snapshot, base::TimePoint now);

/** Returns whether any of \a replicas may get new work now, whatever they have in flight. */
bool hasUsableReplica(UpstreamTable&, const catalog::Catalog&, const ReplicaQuery&, base::TimePoint now);

/** Returns whether this host may send an upstream one more call now. */
bool hasFreeSlot(UpstreamTable&, const catalog::Upstream&);

/** Returns the replica that the policy in force prefers, or none if all are unusable or full. */
std::optional<catalog::UpstreamId> chooseReplica(
    UpstreamTable&, const catalog::Catalog&, const ReplicaQuery&, base::Random&, base::TimePoint now);

/**
 * Chooses an upstream of a pool. Prefers one below its limit in flight; the caller's admission bounds the work.
 * Without \a now, the age of measurements is not taken into account.
 */
std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable&, const catalog::Catalog&,
    std::span<const catalog::UpstreamId> pool, std::span<const catalog::UpstreamId> excluded, base::Random&,
    base::TimePoint now = {});

}
