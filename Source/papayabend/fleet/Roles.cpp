#include "papayabend/fleet/Roles.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <bit>
#include <map>
#include <numeric>
#include <ranges>
#include <set>
#include <tuple>

namespace papayabend::fleet {

namespace {

    constexpr std::string_view readerKey = "store reader";
    constexpr std::string_view servingKey = "serving host";

    // The score depends on the incarnation, so that a host that fails repeatedly does not become a reader each time.
    uint64_t readerScore(const Heartbeat& heartbeat)
    {
        return base::rendezvousScore(readerKey, heartbeat.name + ' ' + std::to_string(heartbeat.incarnation));
    }

    /** Returns the live hosts among which readers are chosen: all, or in a large fleet those of the failure domain. */
    std::vector<const Heartbeat*> readerCandidates(const FleetView& fleet, base::TimePoint now)
    {
        auto heartbeats = fleet.liveHeartbeats(now);
        if (!fleet.isSmall())
            std::erase_if(heartbeats, [&](const auto* it) { return it->failureDomain != fleet.self().failureDomain; });
        return heartbeats;
    }

    std::set<std::string_view> liveDomains(const FleetView& fleet, base::TimePoint now)
    {
        std::set<std::string_view> domains;
        for (const auto* heartbeat : fleet.liveHeartbeats(now))
            domains.insert(heartbeat->failureDomain);
        return domains;
    }

    /** Returns how many of \a heartbeats, from the first one on, are needed to carry \a load attempts per second. */
    size_t neededHosts(const std::vector<const Heartbeat*>& heartbeats, const ServingSettings& settings, uint64_t load)
    {
        constexpr uint64_t thousandthsPerCore = 1000;
        size_t count = 0;
        uint64_t carried = 0;
        while (count < heartbeats.size() && (count < settings.hostsPerDomain || carried < load * thousandthsPerCore))
            carried += static_cast<uint64_t>(heartbeats[count++]->capacity) * settings.attemptsPerCore;
        return count;
    }

}

std::vector<const Heartbeat*> readerOrder(std::vector<const Heartbeat*> heartbeats)
{
    std::erase_if(heartbeats, [](const auto* it) { return it->stage == HostStage::Leaving; });
    // The scores are computed once, since a large fleet has many hosts and each of them decides this several times a
    // second.
    std::vector<std::tuple<bool, uint64_t, const Heartbeat*>> ranked;
    ranked.reserve(heartbeats.size());
    for (const auto* it : heartbeats)
        ranked.emplace_back(!it->isStoreUnreachable, readerScore(*it), it);
    std::ranges::sort(ranked, [](const auto& a, const auto& b) {
        return std::pair(std::get<0>(a), std::get<1>(a)) > std::pair(std::get<0>(b), std::get<1>(b));
    });
    std::ranges::transform(ranked, heartbeats.begin(), [](const auto& it) { return std::get<2>(it); });
    return heartbeats;
}

std::vector<const Heartbeat*> smallFleetReadersOf(const std::vector<const Heartbeat*>& order)
{
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
    return readers;
}

ReaderRole readerRole(const FleetView& fleet, base::TimePoint now)
{
    auto order = readerOrder(readerCandidates(fleet, now));
    const auto* self = &fleet.self();
    auto domains = fleet.isSmall() ? std::set<std::string_view>() : liveDomains(fleet, now);
    if (domains.size() > 1) {
        auto domainRank = static_cast<size_t>(std::distance(domains.begin(), domains.find(self->failureDomain)));
        auto isFirst = !order.empty() && order.front() == self;
        return { isFirst ? std::optional(domainRank) : std::nullopt, domains.size() };
    }
    auto readers = smallFleetReadersOf(order);
    auto it = std::ranges::find(readers, self);
    if (it == readers.end())
        return { std::nullopt, readers.size() };
    return { static_cast<size_t>(std::distance(readers.begin(), it)), readers.size() };
}

bool isReader(const FleetView& fleet, base::TimePoint now) { return readerRole(fleet, now).rank.has_value(); }

ReaderSlot readerSlot(const FleetView& fleet, base::TimePoint now)
{
    auto order = readerOrder(readerCandidates(fleet, now));
    auto position = std::ranges::find(order, &fleet.self()) - order.begin();
    return { static_cast<size_t>(position), std::max<size_t>(order.size(), 1) };
}

std::vector<std::string> pushTargets(const FleetView& fleet, base::TimePoint now)
{
    std::vector<std::string> addresses;
    for (const auto* heartbeat : fleet.liveHeartbeats(now)) {
        auto isTarget = fleet.isSmall() || heartbeat->failureDomain == fleet.self().failureDomain;
        if (heartbeat != &fleet.self() && isTarget)
            addresses.push_back(heartbeat->peerAddress);
    }
    return addresses;
}

std::vector<std::string> confirmationTargets(const FleetView& fleet, base::TimePoint now)
{
    auto addresses = pushTargets(fleet, now);
    if (fleet.isSmall())
        return addresses;
    std::map<std::string_view, std::vector<const Heartbeat*>> byDomain;
    for (const auto* heartbeat : fleet.liveHeartbeats(now))
        byDomain[heartbeat->failureDomain].push_back(heartbeat);
    byDomain.erase(fleet.self().failureDomain);
    for (const auto& [domain, heartbeats] : byDomain) {
        auto order = readerOrder(heartbeats);
        if (!order.empty())
            addresses.push_back(order.front()->peerAddress);
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
