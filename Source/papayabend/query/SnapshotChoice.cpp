#include "papayabend/query/SnapshotChoice.h"

#include "papayabend/routing/ReplicaChoice.h"

#include <algorithm>

namespace papayabend::query {

namespace {

    uint64_t servableUnits(routing::UpstreamTable& table, const catalog::Catalog& catalog,
        const catalog::Snapshot& snapshot, base::TimePoint now)
    {
        uint64_t units = 0;
        for (const auto& shard : snapshot.shards) {
            routing::ReplicaQuery query { .replicas = shard.replicas, .excluded = {}, .snapshot = snapshot.id };
            if (routing::hasUsableReplica(table, catalog, query, now))
                units += shard.units;
        }
        return units;
    }

}

bool isServable(routing::UpstreamTable& table, const catalog::Catalog& catalog, const catalog::Snapshot& snapshot,
    base::TimePoint now)
{
    return std::ranges::all_of(snapshot.shards, [&](const catalog::Shard& shard) {
        routing::ReplicaQuery query { .replicas = shard.replicas, .excluded = {}, .snapshot = snapshot.id };
        return routing::hasUsableReplica(table, catalog, query, now);
    });
}

const catalog::Snapshot* chooseSnapshot(routing::UpstreamTable& table, const catalog::Catalog& catalog,
    const catalog::Service& service, base::TimePoint now)
{
    auto it = std::ranges::find_if(service.snapshots,
        [&](const catalog::Snapshot& snapshot) { return isServable(table, catalog, snapshot, now); });
    if (it != service.snapshots.end())
        return &*it;
    // max_element returns the first of equals, which is the newest because snapshots are listed newest first.
    auto best = std::ranges::max_element(service.snapshots, {},
        [&](const catalog::Snapshot& snapshot) { return servableUnits(table, catalog, snapshot, now); });
    return best == service.snapshots.end() ? nullptr : &*best;
}

const catalog::Snapshot* chooseOtherSnapshot(routing::UpstreamTable& table, const catalog::Catalog& catalog,
    const catalog::Service& service, uint64_t excluded, base::TimePoint now)
{
    auto it = std::ranges::find_if(service.snapshots, [&](const catalog::Snapshot& snapshot) {
        return snapshot.id != excluded && isServable(table, catalog, snapshot, now);
    });
    return it == service.snapshots.end() ? nullptr : &*it;
}

}
