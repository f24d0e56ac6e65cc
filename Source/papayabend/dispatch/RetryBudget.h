#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/routing/ExtraBudget.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \struct RetryBudgetSettings
 * \brief Bound of the attempts beyond the first ones, at one service and over all hosts.
 */
struct RetryBudgetSettings {
    double ratio { 0.2 }; /**< Of the requests for the service. */
    double extra { 0 }; /**< Attempts in each window on top, over all hosts together. */
    base::Duration window { std::chrono::seconds(10) };
};

/** \class RetryBudget
 * \brief This host's part of the retry budget of each service.
 *
 * The part in proportion follows the requests that this host has itself; fleet::BudgetShare divides the fixed part.
 * Not safe for use by several threads.
 */
class RetryBudget {
public:
    /** Counts a request for \a service. */
    void addRequest(std::string_view service, const RetryBudgetSettings&, base::TimePoint now);

    /** Takes one attempt beyond the first; returns whether the budget has it left. \a fixedPart: this host's part of
     * the fixed allowance, in [0, 1]. */
    bool tryTake(std::string_view service, const RetryBudgetSettings&, double fixedPart, base::TimePoint now);

    /** Attempts that are left to this host. */
    double left(std::string_view service, const RetryBudgetSettings&, double fixedPart, base::TimePoint now) const;

private:
    std::unordered_map<std::string, routing::SlidingCounts> m_counts;
};

}
