#include "papayabend/fleet/HeartbeatPlan.h"

#include <algorithm>
#include <ranges>

namespace papayabend::fleet {

namespace {

    // Rounds between two datagrams to the seeds once other hosts are known.
    constexpr uint64_t roundsPerSeedContact = 8;
    // Large fleet: rounds between two datagrams to the same host of the own failure domain, and between two datagrams
    // to other failure domains.
    constexpr uint64_t roundsPerContact = 2;
    // Heartbeats in a datagram of a large fleet: those of other failure domains relayed within the own one, and those
    // of the own one relayed to another.
    constexpr size_t maxForeignRelayed = 3;
    constexpr size_t maxOwnRelayed = 12;
    // In the first rounds after its start, a host sends to all known hosts of its failure domain and to the seeds; in a
    // small fleet each datagram then relays all live heartbeats.
    constexpr uint64_t startupRounds = 3;

    using Heartbeats = std::vector<const Heartbeat*>;

    std::vector<Heartbeat> randomSubset(Heartbeats heartbeats, size_t count, base::Random& random)
    {
        std::ranges::shuffle(heartbeats, random);
        heartbeats.resize(std::min(heartbeats.size(), count));
        std::vector<Heartbeat> copies;
        std::ranges::transform(heartbeats, std::back_inserter(copies), [](const auto* it) { return *it; });
        return copies;
    }

    void planSmallFleet(const Heartbeats& known, const Heartbeats& live, uint64_t round, base::Random& random,
        std::vector<PlannedHeartbeat>& plan)
    {
        for (const auto* heartbeat : known)
            plan.push_back({ heartbeat->peerAddress, {} });
        std::ranges::shuffle(plan, random);
        for (size_t n = 0; n < plan.size(); ++n) {
            if (n == 0 || round <= startupRounds)
                plan[n].relayed = randomSubset(live, live.size(), random);
        }
    }

    void planLargeFleet(const Heartbeats& known, const Heartbeats& live, const std::string& domain, uint64_t round,
        base::Random& random, std::vector<PlannedHeartbeat>& plan)
    {
        Heartbeats localHeartbeats;
        Heartbeats remoteHeartbeats;
        std::ranges::partition_copy(live, std::back_inserter(localHeartbeats), std::back_inserter(remoteHeartbeats),
            [&](const auto* it) { return it->failureDomain == domain; });
        Heartbeats remoteHosts;
        for (size_t n = 0; n < known.size(); ++n) {
            if (known[n]->failureDomain != domain)
                remoteHosts.push_back(known[n]);
            else if ((n + round) % roundsPerContact == 0 || round <= startupRounds)
                plan.push_back({ known[n]->peerAddress, randomSubset(remoteHeartbeats, maxForeignRelayed, random) });
        }
        if (!remoteHosts.empty() && round % roundsPerContact == 0) {
            const auto* target = remoteHosts[base::uniformIndex(random, remoteHosts.size())];
            plan.push_back({ target->peerAddress, randomSubset(localHeartbeats, maxOwnRelayed, random) });
        }
    }

}

std::vector<PlannedHeartbeat> planHeartbeats(const FleetView& fleet, std::span<const std::string> seeds, uint64_t round,
    base::Random& random, base::TimePoint now)
{
    std::vector<PlannedHeartbeat> plan;
    Heartbeats known;
    Heartbeats live;
    for (const auto& [name, member] : fleet.members()) {
        known.push_back(&member.heartbeat);
        if (fleet.isAlive(member, now))
            live.push_back(&member.heartbeat);
    }
    if (fleet.isSmall())
        planSmallFleet(known, live, round, random, plan);
    else
        planLargeFleet(known, live, fleet.self().failureDomain, round, random, plan);
    if (known.empty() || round % roundsPerSeedContact == 0 || round <= startupRounds) {
        for (const auto& seed : seeds) {
            if (std::ranges::find(plan, seed, &PlannedHeartbeat::address) == plan.end())
                plan.push_back({ seed, randomSubset(live, maxOwnRelayed, random) });
        }
    }
    return plan;
}

}
