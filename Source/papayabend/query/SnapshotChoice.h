#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/UpstreamTable.h"

#include <cstdint>
#include <optional>

namespace papayabend::query {

/** Returns whether every shard of a snapshot has a replica that is eligible for new attempts. */
bool isServable(routing::UpstreamTable&, const catalog::Catalog&, const catalog::Snapshot&, base::TimePoint now);

/**
 * Returns the newest servable snapshot. If none is servable, returns the one with the most units in shards that have an
 * eligible replica, and the newer one of equals. Returns null if the service has no snapshot.
 */
const catalog::Snapshot* chooseSnapshot(
    routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&, base::TimePoint now);

/** Returns the newest servable snapshot other than \a excluded, or null. */
const catalog::Snapshot* chooseOtherSnapshot(
    routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&, uint64_t excluded, base::TimePoint now);

}
