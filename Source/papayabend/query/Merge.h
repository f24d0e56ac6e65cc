#pragma once

#include "papayabend/routing/Attempt.h"

#include <cstdint>
#include <vector>

namespace papayabend::query {

/** Number of hits above which merging uses several threads. */
constexpr size_t parallelMergeThreshold = 20'000;

/**
 * Keeps the best \a maxHits hits, best score first, equal scores by document name. The order depends only on the
 * hits, not on the order in which shards answered. A score that is not a number ranks last.
 */
void keepBestHits(std::vector<routing::Hit>& hits, uint32_t maxHits, size_t parallelThreshold = parallelMergeThreshold);

}
