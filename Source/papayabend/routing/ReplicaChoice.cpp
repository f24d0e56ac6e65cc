#include "papayabend/routing/ReplicaChoice.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <cmath>
#include <limits>

namespace papayabend::routing {

namespace {

    // Policy::Affinity uses another replica if the preferred one costs more than this many times the lowest cost.
    constexpr double affinityTolerance = 2;
    constexpr double reportHalfLifeUs = 50'000;
    constexpr double latencyHalfLifeUs = 2'000'000;
    constexpr double minLatencyUs = 100.0;
    constexpr double minRampShare = 0.1;
    constexpr double overloadPenalty = 4;
    constexpr double costNoise = 0.1;

    struct Candidate {
        const catalog::Upstream* upstream { nullptr };
        double cost { 0 };
    };
    using Candidates = boost::container::small_vector<Candidate, 8>;

    int64_t toUs(base::TimePoint time) { return time.time_since_epoch().count(); }

    double decay(int64_t ageUs, double halfLifeUs)
    {
        return ageUs <= 0 ? 1 : std::exp2(-static_cast<double>(ageUs) / halfLifeUs);
    }

    double domainWeight(const RoutingSettings& settings, const std::string& domain)
    {
        if (auto it = settings.domainWeights.find(domain); it != settings.domainWeights.end())
            return it->second;
        return settings.ownFailureDomain.empty() || domain == settings.ownFailureDomain ? 1
                                                                                        : settings.remoteDomainWeight;
    }

    double rampShare(const UpstreamState& state, const RoutingSettings& settings, base::TimePoint now)
    {
        auto start = state.rampStart.load();
        if (start == 0)
            return minRampShare;
        auto share = static_cast<double>(toUs(now) - start) / static_cast<double>(settings.recovery.ramp.count());
        return std::clamp(share, minRampShare, 1.0);
    }

    double costOf(UpstreamTable& table, const catalog::Upstream& upstream, base::TimePoint now)
    {
        const auto& settings = table.settings();
        auto& state = table.state(upstream.id);
        bool isTimeKnown = now != base::TimePoint {};
        // An estimate decays without new samples, so that a slow upstream is tried again.
        auto latency
            = state.latencyUs.load() * (isTimeKnown ? decay(toUs(now) - state.latencyAt.load(), latencyHalfLifeUs) : 1);
        auto reported = static_cast<double>(state.reportedQueue.load()) / std::max(upstream.slots, 1U)
            * (isTimeKnown ? decay(toUs(now) - state.reportedAt.load(), reportHalfLifeUs) : 0);
        // The report may be wrong, so it counts at most as much as one call of this host.
        auto load = state.inFlight.load() + 1 + std::min(reported, 1.0);
        auto cost = load * std::max(latency, minLatencyUs) * domainWeight(settings, upstream.failureDomain);
        if (isTimeKnown && toUs(now) < state.overloadedUntil.load())
            cost *= overloadPenalty;
        return cost;
    }

    Candidates usableCandidates(
        UpstreamTable& table, const catalog::Catalog& catalog, const ReplicaQuery& query, base::TimePoint now)
    {
        Candidates candidates;
        for (auto id : query.replicas) {
            if (std::ranges::find(query.excluded, id) != query.excluded.end()
                || !isUsable(table, catalog, id, query.snapshot, now))
                continue;
            const auto* upstream = catalog::findUpstream(catalog, id);
            if (query.isHedge && toUs(now) < table.state(id).overloadedUntil.load())
                continue;
            candidates.push_back({ upstream, 0 });
        }
        return candidates;
    }

    void keepIf(Candidates& candidates, bool keepAllIfNoneMatches, const auto& predicate)
    {
        // The predicate may draw random numbers, so it is called once for each candidate.
        auto rejected = std::stable_partition(candidates.begin(), candidates.end(), predicate);
        if (rejected != candidates.begin() || !keepAllIfNoneMatches)
            candidates.erase(rejected, candidates.end());
    }

    const catalog::Upstream* choose(
        const Candidates& candidates, Policy policy, std::string_view key, base::Random& random)
    {
        auto best = std::ranges::min_element(candidates, {}, &Candidate::cost);
        switch (policy) {
        case Policy::Random:
            return candidates[base::uniformIndex(random, candidates.size())].upstream;
        case Policy::LeastInFlight:
            return best->upstream;
        case Policy::TwoChoices: {
            auto first = base::uniformIndex(random, candidates.size());
            auto second = (first + 1 + base::uniformIndex(random, candidates.size() - 1)) % candidates.size();
            return candidates[first].cost <= candidates[second].cost ? candidates[first].upstream
                                                                     : candidates[second].upstream;
        }
        case Policy::Affinity: {
            auto preferred = std::ranges::max_element(
                candidates, {}, [&](const Candidate& it) { return base::rendezvousScore(key, it.upstream->name); });
            return preferred->cost <= affinityTolerance * best->cost ? preferred->upstream : best->upstream;
        }
        }
        return best->upstream;
    }

}

bool isUsable(UpstreamTable& table, const catalog::Catalog& catalog, catalog::UpstreamId id, uint64_t snapshot,
    base::TimePoint now)
{
    const auto* upstream = catalog::findUpstream(catalog, id);
    if (!upstream || upstream->isLeaving)
        return false;
    const auto& state = table.state(id);
    if (state.isDraining.load() || state.isUnreachable.load())
        return false;
    return snapshot == 0 || state.missingSnapshot.load() != snapshot || toUs(now) >= state.missingSnapshotUntil.load();
}

bool hasUsableReplica(
    UpstreamTable& table, const catalog::Catalog& catalog, const ReplicaQuery& query, base::TimePoint now)
{
    return !usableCandidates(table, catalog, query, now).empty();
}

bool hasFreeSlot(UpstreamTable& table, const catalog::Upstream& upstream)
{
    return !table.settings().limitInFlight || table.state(upstream.id).inFlight.load() < inFlightLimit(table, upstream);
}

std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable& table, const catalog::Catalog& catalog,
    const ReplicaQuery& query, base::Random& random, base::TimePoint now)
{
    auto candidates = usableCandidates(table, catalog, query, now);
    keepIf(candidates, query.mayExceedLimit, [&](const Candidate& it) { return hasFreeSlot(table, *it.upstream); });
    keepIf(candidates, true, [&](const Candidate& it) { return it.upstream->failureDomain != query.avoidedDomain; });
    if (candidates.empty())
        return std::nullopt;
    if (candidates.size() == 1)
        return candidates.front().upstream->id;
    const auto& settings = table.settings();
    if (settings.policy != Policy::Random && now != base::TimePoint {}) {
        // An upstream that is cold or ramping is a candidate only in its share of the choices.
        keepIf(candidates, true, [&](const Candidate& it) {
            return base::uniform(random) < rampShare(table.state(it.upstream->id), settings, now);
        });
    }
    if (candidates.size() == 1)
        return candidates.front().upstream->id;
    // Without the noise, a difference of microseconds would send all work to one replica.
    for (auto& it : candidates)
        it.cost = costOf(table, *it.upstream, now) * (1 + costNoise * base::uniform(random));
    return choose(candidates, table.settings().policy, query.key, random)->id;
}

std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable& table, const catalog::Catalog& catalog,
    std::span<const catalog::UpstreamId> pool, std::span<const catalog::UpstreamId> excluded, base::Random& random,
    base::TimePoint now)
{
    ReplicaQuery query;
    query.replicas = pool;
    query.excluded = excluded;
    query.mayExceedLimit = true;
    return chooseReplica(table, catalog, query, random, now);
}

}
