#include "papayabend/fleet/BeatPlan.h"

#include <algorithm>
#include <ranges>

namespace papayabend::fleet {

namespace {

    // Rounds between datagrams to the seeds once other hosts are known.
    constexpr uint64_t seedRounds = 8;
    // Rounds between datagrams to one and the same half of a large failure domain.
    constexpr uint64_t nearRounds = 2;
    // Beats of other failure domains passed on inside of one, and beats of the own one passed on to another.
    constexpr size_t foreignPassedOn = 3;
    constexpr size_t ownPassedOn = 12;
    constexpr uint64_t firstRounds = 3;

    using Beats = std::vector<const HostBeat*>;

    std::vector<HostBeat> sample(Beats beats, size_t count, base::Random& random)
    {
        std::ranges::shuffle(beats, random);
        beats.resize(std::min(beats.size(), count));
        std::vector<HostBeat> copies;
        std::ranges::transform(beats, std::back_inserter(copies), [](const auto* it) { return *it; });
        return copies;
    }

    void planSmall(
        const Beats& known, const Beats& live, uint64_t round, base::Random& random, std::vector<PlannedBeat>& plan)
    {
        for (const auto* beat : known)
            plan.push_back({ beat->peerAddress, {} });
        std::ranges::shuffle(plan, random);
        for (size_t n = 0; n < plan.size(); ++n) {
            if (n == 0 || round <= firstRounds)
                plan[n].passedOn = sample(live, live.size(), random);
        }
    }

    void planLarge(const Beats& known, const Beats& live, const std::string& domain, uint64_t round,
        base::Random& random, std::vector<PlannedBeat>& plan)
    {
        Beats nearBeats;
        Beats farBeats;
        std::ranges::partition_copy(live, std::back_inserter(nearBeats), std::back_inserter(farBeats),
            [&](const auto* it) { return it->failureDomain == domain; });
        Beats far;
        for (size_t n = 0; n < known.size(); ++n) {
            if (known[n]->failureDomain != domain)
                far.push_back(known[n]);
            else if ((n + round) % nearRounds == 0 || round <= firstRounds)
                plan.push_back({ known[n]->peerAddress, sample(farBeats, foreignPassedOn, random) });
        }
        if (!far.empty() && round % nearRounds == 0) {
            const auto* to = far[base::uniformIndex(random, far.size())];
            plan.push_back({ to->peerAddress, sample(nearBeats, ownPassedOn, random) });
        }
    }

}

std::vector<PlannedBeat> planBeats(const FleetView& fleet, std::span<const std::string> seeds, uint64_t round,
    base::Random& random, base::TimePoint now)
{
    std::vector<PlannedBeat> plan;
    Beats known;
    Beats live;
    for (const auto& [name, member] : fleet.members()) {
        known.push_back(&member.beat);
        if (fleet.isAlive(member, now))
            live.push_back(&member.beat);
    }
    if (fleet.isSmall())
        planSmall(known, live, round, random, plan);
    else
        planLarge(known, live, fleet.self().failureDomain, round, random, plan);
    if (known.empty() || round % seedRounds == 0 || round <= firstRounds) {
        for (const auto& seed : seeds) {
            if (std::ranges::find(plan, seed, &PlannedBeat::address) == plan.end())
                plan.push_back({ seed, sample(live, ownPassedOn, random) });
        }
    }
    return plan;
}

}
