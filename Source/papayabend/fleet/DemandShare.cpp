#include "papayabend/fleet/DemandShare.h"

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

}
