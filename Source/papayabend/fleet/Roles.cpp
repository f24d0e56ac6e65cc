#include "papayabend/fleet/Roles.h"

#include "papayabend/base/Hash.h"
#include "papayabend/fleet/Reach.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <utility>

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

    constexpr uint64_t thousandthsPerCore = 1000;
    // A single strong host is not enough: its loss would leave callers without a host.
    constexpr size_t minStrongHosts = 2;

    // A host with two thirds of the capacity of the strongest one is strong. A short job takes half as long again
    // there, which a latency objective of 60 ms still allows.
    bool isStrong(const Heartbeat& heartbeat, uint32_t strongest)
    {
        return uint64_t { 3 } * heartbeat.capacity >= uint64_t { 2 } * strongest;
    }

    /** Returns how many of \a heartbeats, from the first one on, are needed to carry \a load attempts per second. */
    size_t neededHosts(const std::vector<const Heartbeat*>& heartbeats, const ServingSettings& settings, uint64_t load)
    {
        size_t count = 0;
        uint64_t carried = 0;
        while (count < heartbeats.size() && (count < settings.hostsPerDomain || carried < load * thousandthsPerCore))
            carried += static_cast<uint64_t>(heartbeats[count++]->capacity) * settings.attemptsPerCore;
        return count;
    }

    /** Returns the attempts per second that \a hosts can carry together if callers choose evenly among them. */
    uint64_t evenCapacity(std::span<const Heartbeat* const> hosts, const ServingSettings& settings)
    {
        if (hosts.empty())
            return 0;
        auto weakest = std::ranges::min(hosts, {}, &Heartbeat::capacity)->capacity;
        return hosts.size() * weakest * settings.attemptsPerCore / thousandthsPerCore;
    }

    /** Returns the smallest number of \a hosts, from the first one on and at least \a minimum, that can carry \a load;
     * if there is none, the number that can carry most. */
    size_t fewestHosts(
        std::span<const Heartbeat* const> hosts, size_t minimum, uint64_t load, const ServingSettings& settings)
    {
        auto best = std::min(minimum, hosts.size());
        uint64_t most = 0;
        // The hosts are sorted by capacity only in classes, so the weakest is kept.
        auto weakest = UINT32_MAX;
        for (size_t n = 0; n < hosts.size(); ++n) {
            weakest = std::min(weakest, hosts[n]->capacity);
            auto carried = (n + 1) * weakest * settings.attemptsPerCore / thousandthsPerCore;
            if (n + 1 < minimum || carried <= most)
                continue;
            best = n + 1;
            most = carried;
            if (carried >= load)
                break;
        }
        return best;
    }

    /** \struct DomainHosts
     * \brief Ready hosts of a failure domain in the order in which they serve, and the load of the fleet.
     */
    struct DomainHosts {
        std::vector<const Heartbeat*> ready;
        size_t strong { 0 }; /**< Number of strong ones, which are first; set only with prefersStrongHosts. */
        uint64_t load { 0 }; /**< Of the failure domain, in attempts per second. */
        uint64_t lossLoad { 0 }; /**< Part of the load of another failure domain that comes here if that one is lost. */
    };

    DomainHosts hostsOf(
        const FleetView& fleet, std::string_view failureDomain, const ServingSettings& settings, base::TimePoint now)
    {
        DomainHosts hosts;
        std::map<std::string_view, uint64_t> otherLoads;
        uint32_t strongest = 0;
        auto othersReach = reachesUpstreams(fleet, now);
        for (const auto* heartbeat : fleet.liveHeartbeats(now)) {
            if (heartbeat->failureDomain != failureDomain) {
                if (settings.prefersStrongHosts)
                    otherLoads[heartbeat->failureDomain] += heartbeat->load;
                continue;
            }
            hosts.load += heartbeat->load;
            if (heartbeat->stage != HostStage::Ready || (othersReach && heartbeat->reach == UpstreamReachState::Lost))
                continue;
            hosts.ready.push_back(heartbeat);
            strongest = std::max(strongest, heartbeat->capacity);
        }
        if (!otherLoads.empty())
            hosts.lossLoad = std::ranges::max_element(otherLoads, {}, [](const auto& it) { return it.second; })->second
                / otherLoads.size();
        // Ranks are computed once for each host: a hash in each comparison would take most of the time of an answer.
        using Rank = std::tuple<bool, int, uint64_t>;
        std::vector<std::pair<Rank, const Heartbeat*>> ranked;
        std::ranges::transform(hosts.ready, std::back_inserter(ranked), [&](const auto* it) {
            return std::pair(Rank(settings.prefersStrongHosts && isStrong(*it, strongest), std::bit_width(it->capacity),
                                 base::rendezvousScore(servingKey, it->name)),
                it);
        });
        std::ranges::sort(ranked, std::ranges::greater(), [](const auto& it) { return it.first; });
        std::ranges::transform(ranked, hosts.ready.begin(), [](const auto& it) { return it.second; });
        if (settings.prefersStrongHosts)
            hosts.strong = static_cast<size_t>(
                std::ranges::count_if(hosts.ready, [&](const auto* it) { return isStrong(*it, strongest); }));
        return hosts;
    }

    size_t servingHostsOf(const DomainHosts& hosts, const ServingSettings& settings)
    {
        if (!settings.prefersStrongHosts || hosts.strong == hosts.ready.size())
            return neededHosts(hosts.ready, settings, hosts.load);
        auto strong = std::span(hosts.ready).first(hosts.strong);
        if (strong.size() >= minStrongHosts && evenCapacity(strong, settings) >= hosts.load)
            return fewestHosts(strong, settings.hostsPerDomain, hosts.load + hosts.lossLoad, settings);
        return fewestHosts(hosts.ready, settings.hostsPerDomain, hosts.load, settings);
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

ServingDomain servingDomain(
    const FleetView& fleet, std::string_view failureDomain, const ServingSettings& settings, base::TimePoint now)
{
    auto hosts = hostsOf(fleet, failureDomain, settings, now);
    auto count = fewestHosts(hosts.ready, 1, UINT64_MAX, settings);
    ServingDomain domain;
    domain.room = { hosts.load, evenCapacity(std::span(hosts.ready).first(count), settings) };
    hosts.ready.resize(servingHostsOf(hosts, settings));
    domain.hosts = std::move(hosts.ready);
    return domain;
}

std::vector<const Heartbeat*> servingHosts(
    const FleetView& fleet, std::string_view failureDomain, const ServingSettings& settings, base::TimePoint now)
{
    return servingDomain(fleet, failureDomain, settings, now).hosts;
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
