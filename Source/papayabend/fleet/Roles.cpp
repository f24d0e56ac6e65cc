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

    // A restarted host gets a new place, so that one that fails again and again is not always a reader.
    uint64_t readerScore(const Heartbeat& heartbeat)
    {
        return base::rendezvousScore(readerKey, heartbeat.name + ' ' + std::to_string(heartbeat.incarnation));
    }

    /** Live hosts that can read the store, best first. */
    std::vector<const Heartbeat*> readerOrder(const FleetView& fleet, base::TimePoint now)
    {
        auto heartbeats = fleet.liveHeartbeats(now);
        std::erase_if(heartbeats, [](const auto* it) { return it->stage == HostStage::Leaving; });
        std::ranges::sort(heartbeats, [](const auto* a, const auto* b) {
            return std::pair(!a->isStoreUnreachable, readerScore(*a))
                > std::pair(!b->isStoreUnreachable, readerScore(*b));
        });
        return heartbeats;
    }

    /** Returns how many of \a heartbeats, first ones first, carry \a load attempts a second. */
    size_t neededHosts(const std::vector<const Heartbeat*>& heartbeats, const ServingSettings& settings, uint64_t load)
    {
        constexpr uint64_t thousandths = 1000;
        size_t count = 0;
        uint64_t carried = 0;
        while (count < heartbeats.size() && (count < settings.hostsPerDomain || carried < load * thousandths))
            carried += static_cast<uint64_t>(heartbeats[count++]->capacity) * settings.attemptsPerCore;
        return count;
    }

}

bool isReader(const FleetView& fleet, base::TimePoint now)
{
    const auto& self = fleet.self();
    auto order = readerOrder(fleet, now);
    if (!fleet.isSmall()) {
        auto it = std::ranges::find(
            order, self.failureDomain, [](const auto* heartbeat) { return heartbeat->failureDomain; });
        return it != order.end() && *it == &self;
    }
    std::vector<const Heartbeat*> readers;
    std::set<std::string> domains;
    for (const auto* heartbeat : order) {
        if (readers.size() < smallFleetReaders && domains.insert(heartbeat->failureDomain).second)
            readers.push_back(heartbeat);
    }
    for (const auto* heartbeat : order) {
        if (readers.size() < smallFleetReaders && std::ranges::find(readers, heartbeat) == readers.end())
            readers.push_back(heartbeat);
    }
    return std::ranges::find(readers, &self) != readers.end();
}

std::vector<std::string> pushTargets(const FleetView& fleet, base::TimePoint now)
{
    std::vector<std::string> addresses;
    for (const auto* heartbeat : fleet.liveHeartbeats(now)) {
        auto isNear = fleet.isSmall() || heartbeat->failureDomain == fleet.self().failureDomain;
        if (heartbeat != &fleet.self() && isNear)
            addresses.push_back(heartbeat->peerAddress);
    }
    return addresses;
}

std::vector<const Heartbeat*> servingHosts(
    const FleetView& fleet, std::string_view failureDomain, const ServingSettings& settings, base::TimePoint now)
{
    auto heartbeats = fleet.liveHeartbeats(now);
    std::erase_if(heartbeats, [failureDomain](const auto* it) { return it->failureDomain != failureDomain; });
    auto load = std::accumulate(heartbeats.begin(), heartbeats.end(), uint64_t { 0 },
        [](uint64_t sum, const auto* it) { return sum + it->load; });
    std::erase_if(heartbeats, [](const auto* it) { return it->stage != HostStage::Ready; });
    auto rank = [](const Heartbeat& heartbeat) {
        return std::pair(std::bit_width(heartbeat.capacity), base::rendezvousScore(servingKey, heartbeat.name));
    };
    std::ranges::sort(heartbeats, [&](const auto* a, const auto* b) { return rank(*a) > rank(*b); });
    heartbeats.resize(std::min(heartbeats.size(), neededHosts(heartbeats, settings, load)));
    return heartbeats;
}

size_t servingCount(const FleetView& fleet, const ServingSettings& settings, base::TimePoint now)
{
    std::set<std::string> domains;
    for (const auto* heartbeat : fleet.liveHeartbeats(now))
        domains.insert(heartbeat->failureDomain);
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
