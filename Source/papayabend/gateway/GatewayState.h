#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/dispatch/AccountGrants.h"
#include "papayabend/dispatch/ConcurrencyLimiter.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/dispatch/LatencyEstimate.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/fleet/BudgetShare.h"
#include "papayabend/fleet/FleetView.h"
#include "papayabend/gateway/Content.h"
#include "papayabend/gateway/EventLog.h"
#include "papayabend/gateway/GatewayMetrics.h"
#include "papayabend/gateway/GatewaySettings.h"
#include "papayabend/gateway/PlatformAdapter.h"
#include "papayabend/gateway/UpstreamPool.h"
#include "papayabend/routes/SplitChoice.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace papayabend::gateway {

class Exchange;

/** \struct GatewayState
 * \brief What the requests of a gateway share. Used on the thread of its loop.
 */
struct GatewayState {
    boost::asio::io_context& io;
    const PlatformAdapter& adapter;
    GatewaySettings settings;
    EventLog& log;
    GatewayMetrics& metrics;
    fleet::FleetView fleet;
    Content content;
    UpstreamPool pool;
    dispatch::RetryBudget budget;
    fleet::BudgetShare budgetShare;
    dispatch::CrashSuspects suspects;
    dispatch::ConcurrencyLimiter limiter;
    routes::SplitChoice split;
    std::unordered_map<std::string, dispatch::LatencyEstimate> latency; /**< By route name. */
    base::Random random;
    /** When the store, or a host that reads it, last showed that the content is current. */
    base::TimePoint contentConfirmedAt {};
    /** The process was paused and has not learned since whether its content is current. */
    bool isStale { false };
    /** Weights and limits of the accounts; nullptr: all requests belong to one. */
    std::shared_ptr<const table::Table> table;
    dispatch::AccountRates rates;
    /** Requests that have not been answered. */
    std::unordered_map<const Exchange*, std::weak_ptr<Exchange>> exchanges;
    /** End of a planned stop; every request is answered by then. */
    std::optional<base::TimePoint> endsAt;
};

}
