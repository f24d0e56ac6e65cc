#include "papayabend/fleet/DemandShare.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    constexpr double equalPart = 0.1;
    constexpr base::Duration silentHostTime { FleetView::relayedLivenessTimeout };

}

double demandShare(const FleetView& fleet, base::TimePoint now)
{
    auto own = static_cast<double>(fleet.self().demand);
    auto total = own;
    size_t hosts = 1;
    for (const auto& [name, member] : fleet.members()) {
        if (now - member.lastHeardAt > silentHostTime)
            continue;
        total += member.heartbeat.demand;
        ++hosts;
    }
    auto equal = 1 / static_cast<double>(hosts);
    return total > 0 ? (1 - equalPart) * own / total + equalPart * equal : equal;
}

double admissionShare(const FleetView& fleet, base::TimePoint now)
{
    auto heard = std::ranges::count_if(
        fleet.members(), [now](const auto& it) { return now - it.second.lastHeardAt <= silentHostTime; });
    return demandShare(fleet, now) * static_cast<double>(1 + heard) / static_cast<double>(1 + fleet.members().size());
}

}
