#include "papayabend/dispatch/RetryBudget.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // The counts cover between nine and ten of their ten buckets, so the counted window must be at least a ninth longer
    // than that of the budget.
    constexpr double countedWindowFactor = 1.2;
    // Margin for hosts whose windows are shifted or whose count of the hosts differs.
    constexpr double safetyFactor = 0.85;

    base::Duration countedWindow(const RetryBudgetSettings& settings)
    {
        return std::chrono::duration_cast<base::Duration>(settings.window * countedWindowFactor);
    }

}

void RetryBudget::addRequest(std::string_view service, const RetryBudgetSettings& settings, base::TimePoint now)
{
    routing::count(m_counts[std::string(service)], countedWindow(settings), now, 1, 0);
}

double RetryBudget::remaining(
    std::string_view service, const RetryBudgetSettings& settings, double fixedShare, base::TimePoint now) const
{
    auto it = m_counts.find(std::string(service));
    auto counts
        = it == m_counts.end() ? routing::WindowTotals {} : routing::totals(it->second, countedWindow(settings), now);
    auto fixed = settings.extra * fixedShare;
    auto proportional = settings.ratio * static_cast<double>(counts.needed) / countedWindowFactor;
    return safetyFactor * (proportional + fixed) - static_cast<double>(counts.extra);
}

bool RetryBudget::tryTake(
    std::string_view service, const RetryBudgetSettings& settings, double fixedShare, base::TimePoint now)
{
    if (remaining(service, settings, fixedShare, now) < 1)
        return false;
    routing::count(m_counts[std::string(service)], countedWindow(settings), now, 0, 1);
    return true;
}

}
