#include "papayabend/dispatch/RetryBudget.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // The ring covers nine to ten of its parts, so that it has to be longer than the window by a ninth at least.
    constexpr double coverage = 1.2;
    // Hosts differ in their view of the window and of the number of hosts.
    constexpr double safety = 0.85;

    base::Duration ringLength(const RetryBudgetSettings& settings)
    {
        return std::chrono::duration_cast<base::Duration>(settings.window * coverage);
    }

}

void RetryBudget::addRequest(std::string_view service, const RetryBudgetSettings& settings, base::TimePoint now)
{
    routing::count(m_counts[std::string(service)], ringLength(settings), now, 1, 0);
}

double RetryBudget::left(
    std::string_view service, const RetryBudgetSettings& settings, double fixedPart, base::TimePoint now) const
{
    auto it = m_counts.find(std::string(service));
    auto sum = it == m_counts.end() ? routing::WindowTotals {} : routing::totals(it->second, ringLength(settings), now);
    auto fixed = settings.extra * fixedPart;
    auto inProportion = settings.ratio * static_cast<double>(sum.needed) / coverage;
    return safety * (inProportion + fixed) - static_cast<double>(sum.extra);
}

bool RetryBudget::tryTake(
    std::string_view service, const RetryBudgetSettings& settings, double fixedPart, base::TimePoint now)
{
    if (left(service, settings, fixedPart, now) < 1)
        return false;
    routing::count(m_counts[std::string(service)], ringLength(settings), now, 0, 1);
    return true;
}

}
