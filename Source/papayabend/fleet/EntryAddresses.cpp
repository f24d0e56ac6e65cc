#include "papayabend/fleet/EntryAddresses.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    // One host alone would take all callers of its failure domain, and its loss would leave them without an address.
    constexpr size_t minLocalHosts = 2;
    // Below this share of live hosts the view of this host is in doubt.
    constexpr double minLiveShare = 0.5;

    std::vector<std::string> addressesOf(const std::vector<const Heartbeat*>& heartbeats)
    {
        std::vector<std::string> addresses;
        std::ranges::transform(
            heartbeats, std::back_inserter(addresses), [](const auto* it) { return it->callerAddress; });
        return addresses;
    }

}

std::vector<std::string> entryAddresses(const FleetView& fleet, std::string_view failureDomain,
    const ServingSettings& settings, size_t limit, base::TimePoint now)
{
    auto isInDoubt
        = static_cast<double>(fleet.liveHosts(now)) < minLiveShare * static_cast<double>(1 + fleet.members().size());
    auto hosts = servingHosts(fleet, failureDomain, settings, now);
    if (hosts.size() < minLocalHosts || isInDoubt) {
        auto add = [&](const Heartbeat& heartbeat) {
            if (heartbeat.stage == HostStage::Ready && std::ranges::find(hosts, &heartbeat) == hosts.end())
                hosts.push_back(&heartbeat);
        };
        add(fleet.self());
        for (const auto& [name, member] : fleet.members()) {
            if (fleet.isAlive(member, now) || isInDoubt)
                add(member.heartbeat);
        }
    }
    hosts.resize(std::min(hosts.size(), limit));
    return addressesOf(hosts);
}

}
