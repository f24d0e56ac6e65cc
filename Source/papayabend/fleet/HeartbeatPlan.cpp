#include "papayabend/fleet/HeartbeatPlan.h"

#include <algorithm>
#include <ranges>

namespace papayabend::fleet {

namespace {

    // Rounds between datagrams to the seeds once other hosts are known.
    constexpr uint64_t seedRounds = 8;
    // Rounds between datagrams to one and the same half of a large failure domain.
    constexpr uint64_t nearRounds = 2;
    // Heartbeats of other failure domains passed on inside of one, and heartbeats of the own one passed on to another.
    constexpr size_t foreignPassedOn = 3;
    constexpr size_t ownPassedOn = 12;
    constexpr uint64_t firstRounds = 3;

    using Heartbeats = std::vector<const Heartbeat*>;

    std::vector<Heartbeat> sample(Heartbeats heartbeats, size_t count, base::Random& random)
    {
        std::ranges::shuffle(heartbeats, random);
        heartbeats.resize(std::min(heartbeats.size(), count));
        std::vector<Heartbeat> copies;
        std::ranges::transform(heartbeats, std::back_inserter(copies), [](const auto* it) { return *it; });
        return copies;
    }

    void planSmall(const Heartbeats& known, const Heartbeats& live, uint64_t round, base::Random& random,
        std::vector<PlannedHeartbeat>& plan)
    {
        for (const auto* heartbeat : known)
            plan.push_back({ heartbeat->peerAddress, {} });
        std::ranges::shuffle(plan, random);
        for (size_t n = 0; n < plan.size(); ++n) {
            if (n == 0 || round <= firstRounds)
                plan[n].relayed = sample(live, live.size(), random);
        }
    }

    void planLarge(const Heartbeats& known, const Heartbeats& live, const std::string& domain, uint64_t round,
        base::Random& random, std::vector<PlannedHeartbeat>& plan)
    {
        Heartbeats nearHeartbeats;
        Heartbeats farHeartbeats;
        std::ranges::partition_copy(live, std::back_inserter(nearHeartbeats), std::back_inserter(farHeartbeats),
            [&](const auto* it) { return it->failureDomain == domain; });
        Heartbeats far;
        for (size_t n = 0; n < known.size(); ++n) {
            if (known[n]->failureDomain != domain)
                far.push_back(known[n]);
            else if ((n + round) % nearRounds == 0 || round <= firstRounds)
                plan.push_back({ known[n]->peerAddress, sample(farHeartbeats, foreignPassedOn, random) });
        }
        if (!far.empty() && round % nearRounds == 0) {
            const auto* to = far[base::uniformIndex(random, far.size())];
            plan.push_back({ to->peerAddress, sample(nearHeartbeats, ownPassedOn, random) });
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
        planSmall(known, live, round, random, plan);
    else
        planLarge(known, live, fleet.self().failureDomain, round, random, plan);
    if (known.empty() || round % seedRounds == 0 || round <= firstRounds) {
        for (const auto& seed : seeds) {
            if (std::ranges::find(plan, seed, &PlannedHeartbeat::address) == plan.end())
                plan.push_back({ seed, sample(live, ownPassedOn, random) });
        }
    }
    return plan;
}

}
