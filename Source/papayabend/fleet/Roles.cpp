#include "papayabend/fleet/Roles.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <ranges>
#include <set>

namespace papayabend::fleet {

namespace {

    constexpr std::string_view readerKey = "store reader";
    constexpr std::string_view servingKey = "serving host";

    // The score depends on the incarnation, so that a host that fails repeatedly does not become a reader each time.
    uint64_t readerScore(const HostBeat& beat)
    {
        return base::rendezvousScore(readerKey, beat.name + ' ' + std::to_string(beat.incarnation));
    }

    /** Returns the live hosts that may read the store, in order of preference. */
    std::vector<const HostBeat*> readerOrder(const FleetView& fleet, base::TimePoint now)
    {
        auto beats = fleet.liveBeats(now);
        std::erase_if(beats, [](const auto* it) { return it->stage == HostStage::Leaving; });
        std::ranges::sort(beats, [](const auto* a, const auto* b) {
            return std::pair(!a->isTurnedAway, readerScore(*a)) > std::pair(!b->isTurnedAway, readerScore(*b));
        });
        return beats;
    }

    /** Returns how many of \a beats, from the first one on, are needed to carry \a load attempts per second. */
    size_t neededHosts(const std::vector<const HostBeat*>& beats, const ServingSettings& settings, uint64_t load)
    {
        constexpr uint64_t thousandthsPerCore = 1000;
        size_t count = 0;
        uint64_t carried = 0;
        while (count < beats.size() && (count < settings.hostsPerDomain || carried < load * thousandthsPerCore))
            carried += static_cast<uint64_t>(beats[count++]->capacity) * settings.attemptsPerCore;
        return count;
    }

}

bool isReader(const FleetView& fleet, base::TimePoint now)
{
    const auto& self = fleet.self();
    auto order = readerOrder(fleet, now);
    if (!fleet.isSmall()) {
        auto it = std::ranges::find(order, self.failureDomain, [](const auto* beat) { return beat->failureDomain; });
        return it != order.end() && *it == &self;
    }
    std::vector<const HostBeat*> readers;
    std::set<std::string> domains;
    for (const auto* beat : order) {
        if (readers.size() < smallFleetReaders && domains.insert(beat->failureDomain).second)
            readers.push_back(beat);
    }
    for (const auto* beat : order) {
        if (readers.size() < smallFleetReaders && std::ranges::find(readers, beat) == readers.end())
            readers.push_back(beat);
    }
    return std::ranges::find(readers, &self) != readers.end();
}

std::vector<std::string> audience(const FleetView& fleet, base::TimePoint now)
{
    std::vector<std::string> addresses;
    for (const auto* beat : fleet.liveBeats(now)) {
        auto isTarget = fleet.isSmall() || beat->failureDomain == fleet.self().failureDomain;
        if (beat != &fleet.self() && isTarget)
            addresses.push_back(beat->peerAddress);
    }
    return addresses;
}

std::vector<const HostBeat*> servingHosts(
    const FleetView& fleet, std::string_view failureDomain, const ServingSettings& settings, base::TimePoint now)
{
    auto beats = fleet.liveBeats(now);
    std::erase_if(beats, [failureDomain](const auto* it) { return it->failureDomain != failureDomain; });
    auto load = std::accumulate(
        beats.begin(), beats.end(), uint64_t { 0 }, [](uint64_t sum, const auto* it) { return sum + it->load; });
    std::erase_if(beats, [](const auto* it) { return it->stage != HostStage::Ready; });
    auto rank = [](const HostBeat& beat) {
        return std::pair(std::bit_width(beat.capacity), base::rendezvousScore(servingKey, beat.name));
    };
    std::ranges::sort(beats, [&](const auto* a, const auto* b) { return rank(*a) > rank(*b); });
    beats.resize(std::min(beats.size(), neededHosts(beats, settings, load)));
    return beats;
}

size_t servingCount(const FleetView& fleet, const ServingSettings& settings, base::TimePoint now)
{
    std::set<std::string> domains;
    for (const auto* beat : fleet.liveBeats(now))
        domains.insert(beat->failureDomain);
    size_t count = 0;
    for (const auto& domain : domains)
        count += servingHosts(fleet, domain, settings, now).size();
    return std::max<size_t>(count, 1);
}

bool isServing(const FleetView& fleet, const ServingSettings& settings, base::TimePoint now)
{
    auto hosts = servingHosts(fleet, fleet.self().failureDomain, settings, now);
    return std::ranges::find(hosts, &fleet.self()) != hosts.end();
}

}
