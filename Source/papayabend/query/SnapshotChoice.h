#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/UpstreamTable.h"

#include <cstdint>
#include <optional>

namespace papayabend::query {

/** Returns whether each shard of a snapshot has a replica that may get new work. */
bool isServable(routing::UpstreamTable&, const catalog::Catalog&, const catalog::Snapshot&, base::TimePoint now);

/**
 * Returns the newest snapshot that is servable; failing that, the one with the most units on servable shards, the
 * newer one if equal. Null if the service has no snapshot.
 */
const catalog::Snapshot* chooseSnapshot(
    routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&, base::TimePoint now);

/** Returns the newest servable snapshot other than \a excluded, or null. */
const catalog::Snapshot* chooseOtherSnapshot(
    routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&, uint64_t excluded, base::TimePoint now);

}
