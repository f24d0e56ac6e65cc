#include "papayabend/fleet/BudgetShare.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    /** Grows from 0 to 1 over the window. */
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
    if (servingHosts >= share.servingHosts || now - share.servingHostsAt > servingHostsTime) {
        share.servingHosts = std::max<size_t>(servingHosts, 1);
        share.servingHostsAt = now;
    }
}

double partOf(const BudgetShare& share, size_t hosts, base::Duration window, base::TimePoint now)
{
    auto part
        = (1 - servingPart) / static_cast<double>(std::max<size_t>(hosts, 1)) * ramp(share.startedAt, window, now);
    if (share.isServing)
        part += servingPart / static_cast<double>(share.servingHosts) * ramp(share.servingSince, window, now);
    return part;
}

}
