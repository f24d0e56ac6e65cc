#pragma once

#include "papayabend/routing/ExtraBudget.h"
#include "papayabend/routing/Quarantine.h"
#include "papayabend/routing/ServiceLatency.h"

namespace papayabend::routing {

/** \struct RoutingState
 * \brief What all searches of a host share besides the upstream table. Every member may be used by several threads.
 */
struct RoutingState {
    ServiceLatencies latencies; /**< Of attempts. */
    ServiceLatencies searchTimes; /**< Of searches from their first attempt to their end. */
    ExtraBudget hedges;
    ExtraBudget retries;
    Quarantine quarantine;
};

}
