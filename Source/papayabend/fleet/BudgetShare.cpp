#include "papayabend/fleet/BudgetShare.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    /** Returns a value that grows from 0 at \a since to 1 one window later. */
    double ramp(base::TimePoint since, base::Duration window, base::TimePoint now)
    {
        return std::clamp(std::chrono::duration<double>(now - since) / std::chrono::duration<double>(window), 0.0, 1.0);
    }

}

void observe(BudgetShare& share, bool isServing, size_t servingHosts, base::TimePoint now)
{
    if (isServing && !share.isServing)
        share.servingSince = now;
    share.isServing = isServing;
    if (servingHosts >= share.peakServingHosts || now - share.peakServingHostsAt > servingHostsPeakTime) {
        share.peakServingHosts = std::max<size_t>(servingHosts, 1);
        share.peakServingHostsAt = now;
    }
}

double partOf(const BudgetShare& share, size_t hosts, base::Duration window, base::TimePoint now)
{
    auto result = (1 - servingHostsShare) / static_cast<double>(std::max<size_t>(hosts, 1))
        * ramp(share.startedAt, window, now);
    if (share.isServing)
        result
            += servingHostsShare / static_cast<double>(share.peakServingHosts) * ramp(share.servingSince, window, now);
    return result;
}

}
