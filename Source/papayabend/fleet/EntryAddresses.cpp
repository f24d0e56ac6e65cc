#include "papayabend/fleet/EntryAddresses.h"

#include "papayabend/base/Hash.h"
#include "papayabend/fleet/Reach.h"

#include <algorithm>
#include <tuple>

namespace papayabend::fleet {

namespace {

    // A single host would receive all callers of its failure domain, and its loss would leave them without an address.
    constexpr size_t minLocalHosts = 2;
    // With a lower share of live hosts, this host is probably disconnected from the others.
    constexpr double minLiveShare = 0.5;

    using Hosts = std::vector<const Heartbeat*>;

    std::vector<std::string> addressesOf(const Hosts& heartbeats)
    {
        std::vector<std::string> addresses;
        std::ranges::transform(
            heartbeats, std::back_inserter(addresses), [](const auto* it) { return it->callerAddress; });
        return addresses;
    }

    /** Returns whether the failure domains are known to be in the same region. */
    bool isSameRegion(const EntryOptions& options, std::string_view a, std::string_view b)
    {
        auto first = options.regions.find(a);
        auto second = options.regions.find(b);
        return first != options.regions.end() && second != options.regions.end() && first->second == second->second;
    }

    /** \struct OtherDomain
     * \brief A failure domain that may take callers of another one.
     */
    struct OtherDomain {
        std::string name;
        ServingDomain serving;
    };

    /** Returns the failure domains other than \a own that are not evacuated: those with headroom first, then the
     * nearest ones, then those with the most headroom. */
    std::vector<OtherDomain> otherDomains(const FleetView& fleet, std::string_view own, const ServingSettings& settings,
        const EntryOptions& options, base::TimePoint now)
    {
        std::set<std::string> names;
        for (const auto* heartbeat : fleet.liveHeartbeats(now))
            names.insert(heartbeat->failureDomain);
        std::vector<OtherDomain> domains;
        for (const auto& name : names) {
            if (name != own && !options.evacuatedDomains.contains(name))
                domains.push_back({ name, servingDomain(fleet, name, settings, now) });
        }
        auto rank = [&](const OtherDomain& domain) {
            const auto& room = domain.serving.room;
            auto spare = room.hasRoom() ? room.capacity - room.load : 0;
            return std::tuple(room.hasRoom(), isSameRegion(options, own, domain.name), spare,
                base::rendezvousScore(own, domain.name));
        };
        std::ranges::sort(domains, [&](const auto& a, const auto& b) { return rank(a) > rank(b); });
        return domains;
    }

    /** Adds hosts of other failure domains if \a hosts of the own one are too few or cannot carry its load. */
    void addOtherDomains(Hosts& hosts, const DomainRoom& room, const FleetView& fleet, std::string_view failureDomain,
        const ServingSettings& settings, const EntryOptions& options, base::TimePoint now)
    {
        auto excess = room.load > room.capacity ? room.load - room.capacity : 0;
        auto ownHosts = hosts.size();
        if (ownHosts >= minLocalHosts && excess == 0)
            return;
        for (const auto& domain : otherDomains(fleet, failureDomain, settings, options, now)) {
            if (hosts.size() >= minLocalHosts && (excess == 0 || !domain.serving.room.hasRoom()))
                return;
            for (const auto* heartbeat : domain.serving.hosts) {
                // Callers choose evenly, so each added host takes an equal part of the load.
                auto isExcessCarried = room.load * (hosts.size() - ownHosts) >= excess * hosts.size();
                if (ownHosts >= minLocalHosts && isExcessCarried)
                    return;
                hosts.push_back(heartbeat);
            }
        }
    }

    /** Adds all ready hosts that are alive and, if this host is probably disconnected, silent ones as well. */
    void addAllHosts(Hosts& hosts, const FleetView& fleet, const ServingSettings& settings, const EntryOptions& options,
        bool isProbablyIsolated, base::TimePoint now)
    {
        auto othersReach = reachesUpstreams(fleet, now);
        auto add = [&](bool isEvacuated, base::Duration maxSilence) {
            auto addHost = [&](const Heartbeat& heartbeat) {
                if (heartbeat.stage == HostStage::Ready && (!othersReach || heartbeat.reach != UpstreamReachState::Lost)
                    && std::ranges::find(hosts, &heartbeat) == hosts.end()
                    && options.evacuatedDomains.contains(heartbeat.failureDomain) == isEvacuated)
                    hosts.push_back(&heartbeat);
            };
            addHost(fleet.self());
            for (const auto& [name, member] : fleet.members()) {
                auto isNamed = isProbablyIsolated && now - member.lastHeardAt <= maxSilence;
                if (fleet.isAlive(member, now) || isNamed)
                    addHost(member.heartbeat);
            }
        };
        auto maxSilence = settings.prefersStrongHosts ? maxNamedSilence : FleetView::removalTimeout;
        add(false, maxSilence);
        if (hosts.size() < minLocalHosts)
            add(true, maxSilence);
        if (hosts.empty()) {
            othersReach = false;
            add(false, FleetView::removalTimeout);
        }
    }

}

std::vector<std::string> entryAddresses(const FleetView& fleet, std::string_view failureDomain,
    const ServingSettings& settings, size_t limit, base::TimePoint now, const EntryOptions& options)
{
    auto isProbablyIsolated
        = static_cast<double>(fleet.liveHosts(now)) < minLiveShare * static_cast<double>(1 + fleet.members().size());
    auto [hosts, room] = servingDomain(fleet, failureDomain, settings, now);
    auto isEvacuated = options.evacuatedDomains.contains(failureDomain);
    if (isEvacuated)
        hosts.clear();
    if (settings.prefersStrongHosts || isEvacuated)
        addOtherDomains(hosts, room, fleet, failureDomain, settings, options, now);
    if (hosts.size() < minLocalHosts || isProbablyIsolated)
        addAllHosts(hosts, fleet, settings, options, isProbablyIsolated, now);
    hosts.resize(std::min(hosts.size(), limit));
    return addressesOf(hosts);
}

}
