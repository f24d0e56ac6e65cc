#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/routing/ExtraBudget.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \struct RetryBudgetSettings
 * \brief Bound of the extra attempts, those beyond the first one of each request, at one service over all hosts.
 */
struct RetryBudgetSettings {
    double ratio { 0.2 }; /**< Extra attempts for each request to the service. */
    double extra { 0 }; /**< Fixed part: further extra attempts in each window, over all hosts together. */
    base::Duration window { std::chrono::seconds(10) };
};

/** \class RetryBudget
 * \brief This host's share of the retry budget of each service.
 *
 * The proportional part follows from the requests that this host receives; fleet::BudgetShare divides the fixed part
 * between the hosts. Not safe for use by several threads.
 */
class RetryBudget {
public:
    /** Counts a request for \a service. */
    void addRequest(std::string_view service, const RetryBudgetSettings&, base::TimePoint now);

    /** Uses one extra attempt if the budget has one left; returns whether it had. \a fixedShare: this host's share of
     * the fixed part, in [0, 1]. */
    bool tryTake(std::string_view service, const RetryBudgetSettings&, double fixedShare, base::TimePoint now);

    /** Returns the number of extra attempts that this host has left. */
    double remaining(
        std::string_view service, const RetryBudgetSettings&, double fixedShare, base::TimePoint now) const;

private:
    std::unordered_map<std::string, routing::SlidingCounts> m_counts;
};

}
