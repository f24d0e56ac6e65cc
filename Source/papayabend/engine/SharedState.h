#pragma once

#include "papayabend/base/Published.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/catalog/UpstreamNames.h"
#include "papayabend/routing/QuarantineNotice.h"
#include "papayabend/routing/ReplicaChoice.h"
#include "papayabend/routing/RoutingState.h"
#include "papayabend/routing/UpstreamTable.h"

#include <cstdint>
#include <tbb/concurrent_queue.h>

namespace papayabend::engine {

/** \struct SharedState
 * \brief State that the request paths read and the control path replaces.
 */
struct SharedState {
    uint64_t seed { 0 };
    base::Published<catalog::Catalog> catalog;
    catalog::UpstreamNames upstreamNames;
    routing::UpstreamTable upstreams;
    routing::RoutingState routing;
    tbb::concurrent_queue<routing::QuarantineNotice> quarantineNotices; /**< For the serving set, at once. */
};

}
