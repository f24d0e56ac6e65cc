#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/dispatch/AccountGrants.h"
#include "papayabend/dispatch/ConcurrencyLimiter.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/dispatch/FleetAdmission.h"
#include "papayabend/dispatch/LatencyEstimate.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/dispatch/ReturnTime.h"
#include "papayabend/dispatch/UpstreamGate.h"
#include "papayabend/fleet/BudgetShare.h"
#include "papayabend/fleet/ColdShare.h"
#include "papayabend/fleet/FleetView.h"
#include "papayabend/gateway/Content.h"
#include "papayabend/gateway/EventLog.h"
#include "papayabend/gateway/GatewayMetrics.h"
#include "papayabend/gateway/GatewaySettings.h"
#include "papayabend/gateway/PlatformAdapter.h"
#include "papayabend/gateway/UpstreamPool.h"
#include "papayabend/routes/SplitChoice.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace papayabend::gateway {

class Exchange;

/** \struct GatewayState
 * \brief State that all requests of a gateway share. Used only on the thread of the I/O context.
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
    fleet::ColdShare coldShare;
    dispatch::CrashSuspects suspects;
    dispatch::UpstreamGate gate;
    /** First attempts that the requests of callers asked for since the start of the process. */
    uint64_t wantedAttempts { 0 };
    dispatch::ConcurrencyLimiter limiter;
    dispatch::FleetAdmission admission; /**< Used instead of the limiter with admission.sharesOverFleet. */
    routes::SplitChoice split;
    std::unordered_map<std::string, dispatch::LatencyEstimate> latency; /**< By route name. */
    base::Random random;
    dispatch::TurnDelay turnDelay;
    /** Time of the newest answer of the store, to this host or to another one that has stated its age. */
    base::TimePoint contentConfirmedAt {};
    /** Looks for a pause of the process that has just ended, and marks the content as stale after one; may be empty. */
    std::function<void(base::TimePoint now)> checkPause;
    /** End of the last pause of the process. */
    base::TimePoint resumedAt {};
    /** The process was paused, and neither the store nor another host has confirmed its content since. */
    bool isStale { false };
    /** Weights and limits of the client accounts; nullptr if all requests belong to one account. */
    std::shared_ptr<const table::Table> table;
    dispatch::AccountRates rates;
    uint64_t reportProblems { 0 }; /**< Fields of answers in which upstreams state what cannot be used. */
    /** Open requests. */
    std::unordered_map<const Exchange*, std::weak_ptr<Exchange>> exchanges;
    /** End of a planned stop, by which every request is answered; empty while no stop is planned. */
    std::optional<base::TimePoint> endsAt;
    /** Exceptions that messages of peers have caused. */
    std::shared_ptr<MessageFaults> faults { std::make_shared<MessageFaults>() };
};

}
