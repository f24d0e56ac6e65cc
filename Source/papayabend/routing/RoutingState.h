#pragma once

#include "papayabend/routing/ExtraBudget.h"
#include "papayabend/routing/Quarantine.h"
#include "papayabend/routing/ServiceLatency.h"

namespace papayabend::routing {

/** \struct RoutingState
 * \brief State that all searches of a host share, apart from the upstream table. Every member is thread-safe.
 */
struct RoutingState {
    ServiceLatencies attemptLatencies;
    ServiceLatencies searchDurations; /**< From the first attempt to the end of the search. */
    ExtraBudget hedgeBudget;
    ExtraBudget retryBudget;
    Quarantine quarantine;
};

}
