#pragma once

#include "papayabend/base/Published.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/catalog/UpstreamNames.h"
#include "papayabend/membership/HostView.h"
#include "papayabend/routing/QuarantineNotice.h"
#include "papayabend/routing/ReplicaChoice.h"
#include "papayabend/routing/RoutingState.h"
#include "papayabend/routing/UpstreamTable.h"
#include "papayabend/table/Table.h"

#include <cstdint>
#include <string>
#include <tbb/concurrent_queue.h>
#include <utility>

namespace papayabend::engine {

/** \struct PendingNotice
 * \brief Quarantine notice still to be sent to the other hosts that serve the service.
 */
struct PendingNotice {
    std::string service;
    routing::QuarantineNotice notice;
};

/** \struct SharedState
 * \brief State that the request paths read and the control path replaces.
 */
struct SharedState {
    SharedState() = default;
    SharedState(uint64_t seed, membership::HostIdentity identity)
        : seed(seed)
        , identity(std::move(identity))
    {
    }

    uint64_t seed { 0 };
    membership::HostIdentity identity; /**< Of this process. */
    base::Published<catalog::Catalog> catalog;
    base::Published<table::Table> table;
    base::Published<membership::HostView> hostView;
    catalog::UpstreamNames upstreamNames;
    routing::UpstreamTable upstreams;
    routing::RoutingState routing;
    tbb::concurrent_queue<PendingNotice>
        quarantineNotices; /**< Added by the request paths, sent by QuarantineExchange. */
};

}
