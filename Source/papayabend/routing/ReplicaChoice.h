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
 * \brief Criteria for the choice of one replica.
 */
struct ReplicaQuery {
    std::span<const catalog::UpstreamId> replicas;
    std::span<const catalog::UpstreamId> excluded;
    uint64_t snapshot { 0 }; /**< 0 for a service without snapshots. */
    std::string_view key {}; /**< Key that Policy::Affinity hashes. */
    std::string_view avoidedDomain {}; /**< Failure domain that is used only if no other has a replica. */
    bool isHedge { false }; /**< Never chooses an overloaded upstream. */
    bool mayExceedLimit { false }; /**< Chooses an upstream at its in-flight limit if all are. */
};

/** Returns whether an upstream is eligible for new attempts, regardless of the number in flight. */
bool isUsable(UpstreamTable&, const catalog::Catalog&, catalog::UpstreamId, uint64_t snapshot, base::TimePoint now);

/** Returns whether any replica of the query is eligible for new attempts, regardless of the number in flight. */
bool hasUsableReplica(UpstreamTable&, const catalog::Catalog&, const ReplicaQuery&, base::TimePoint now);

/** Returns whether this host has fewer calls in flight to an upstream than its limit. */
bool hasFreeSlot(UpstreamTable&, const catalog::Upstream&);

/** Returns the replica that the configured policy chooses, or none if all are unusable or at their limits. */
std::optional<catalog::UpstreamId> chooseReplica(
    UpstreamTable&, const catalog::Catalog&, const ReplicaQuery&, base::Random&, base::TimePoint now);

/**
 * Chooses an upstream of a pool. Prefers one below its in-flight limit but may exceed the limit, because admission at
 * the caller bounds the work. Without \a now, the age of measurements is ignored.
 */
std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable&, const catalog::Catalog&,
    std::span<const catalog::UpstreamId> pool, std::span<const catalog::UpstreamId> excluded, base::Random&,
    base::TimePoint now = {});

}
