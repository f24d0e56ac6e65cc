#include "papayabend/fleet/EntryAnswer.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    // One host alone would take all callers of its failure domain, and its loss would leave them without an address.
    constexpr size_t minLocalHosts = 2;
    // Below this share of live hosts the view of this host is in doubt.
    constexpr double minLiveShare = 0.5;

    struct Place {
        std::string address;
        bool isLocal { false };
    };

}

std::vector<std::string> entryAddresses(
    const FleetView& fleet, std::string_view failureDomain, size_t limit, base::TimePoint now)
{
    auto isInDoubt
        = static_cast<double>(fleet.liveHosts(now)) < minLiveShare * static_cast<double>(1 + fleet.members().size());
    std::vector<Place> places;
    auto add = [&](const HostBeat& beat) {
        if (beat.stage == HostStage::Ready)
            places.push_back({ beat.callerAddress, beat.failureDomain == failureDomain });
    };
    add(fleet.self());
    for (const auto& [name, member] : fleet.members()) {
        if (fleet.isAlive(member, now) || isInDoubt)
            add(member.beat);
    }
    auto local = static_cast<size_t>(std::ranges::count_if(places, &Place::isLocal));
    if (local >= minLocalHosts)
        std::erase_if(places, [](const auto& it) { return !it.isLocal; });
    std::ranges::stable_sort(places, std::ranges::greater(), &Place::isLocal);
    places.resize(std::min(places.size(), limit));
    std::vector<std::string> addresses;
    std::ranges::transform(places, std::back_inserter(addresses), &Place::address);
    return addresses;
}

}
