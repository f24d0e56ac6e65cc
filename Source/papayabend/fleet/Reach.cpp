#include "papayabend/fleet/Reach.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayabend::fleet {

bool reachesUpstreams(const FleetView& fleet, base::TimePoint now)
{
    return fleet.self().reach == UpstreamReachState::Reached
        || std::ranges::any_of(fleet.members(), [&](const auto& it) {
               return it.second.heartbeat.reach == UpstreamReachState::Reached && fleet.isAlive(it.second, now);
           });
}

std::string relayTarget(
    const FleetView& fleet, const std::set<std::string>& excluded, base::Random& random, base::TimePoint now)
{
    std::vector<const Heartbeat*> best;
    auto bestRank = std::pair(false, false);
    for (const auto& [name, member] : fleet.members()) {
        const auto& heartbeat = member.heartbeat;
        if (heartbeat.stage != HostStage::Ready || heartbeat.reach == UpstreamReachState::Lost
            || !fleet.isAlive(member, now) || excluded.contains(heartbeat.peerAddress))
            continue;
        auto rank = std::pair(
            heartbeat.reach == UpstreamReachState::Reached, heartbeat.failureDomain == fleet.self().failureDomain);
        if (rank > bestRank)
            best.clear();
        bestRank = std::max(rank, bestRank);
        if (rank == bestRank)
            best.push_back(&heartbeat);
    }
    return best.empty() ? std::string() : best[base::uniformIndex(random, best.size())]->peerAddress;
}

}
