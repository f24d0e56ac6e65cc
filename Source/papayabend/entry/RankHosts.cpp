#include "papayabend/entry/RankHosts.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>

namespace papayabend::entry {

namespace {

    // A host may get this factor times its share of the callers, and this many more, before the next host of the
    // ranking is placed first.
    constexpr double shareTolerance = 1.04;
    constexpr double extraCallers = 1;

    // A host at full load still gets some callers, because the reported load may be out of date.
    constexpr double minFreeCapacity = 0.05;

    // With this many callers all assignments are removed and the counts start again.
    constexpr size_t maxRememberedCallers = 100'000;

    struct Candidate {
        const membership::HostObservation* host { nullptr };
        bool isInOtherDomain { false };
        double freeCapacity { 1 }; /**< As a part of the whole. */
        double score { 0 };
    };

    void removeExpired(CallerAssignments& assignments, base::TimePoint now, base::Duration cleanupInterval)
    {
        if (now - assignments.lastCleanup < cleanupInterval && assignments.byCaller.size() < maxRememberedCallers)
            return;
        assignments.lastCleanup = now;
        bool isFull = assignments.byCaller.size() >= maxRememberedCallers;
        std::erase_if(assignments.byCaller, [&](const auto& entry) { return isFull || entry.second.expiresAt <= now; });
        assignments.callerCounts.clear();
        for (const auto& [caller, assignment] : assignments.byCaller)
            ++assignments.callerCounts[assignment.host];
    }

    /** Weighted rendezvous hashing: the lowest score wins, and hosts win in proportion to their free capacity. */
    double score(std::string_view key, const membership::HostObservation& host, double freeCapacity)
    {
        auto uniform = static_cast<double>(base::rendezvousScore(key, host.name) >> 11U) * 0x1.0p-53;
        return -std::log(1 - uniform) / freeCapacity;
    }

}

EntryAnswer rankHosts(const membership::HostView& view, std::span<const std::string> servingSet,
    std::string_view account, std::string_view service, const Caller& caller, const EntrySettings& settings,
    CallerAssignments& assignments, base::TimePoint now)
{
    auto key = std::string(account) + '\n' + std::string(service) + '\n' + caller.name;
    std::vector<Candidate> candidates;
    for (const auto& host : view.hosts) {
        bool isMember = servingSet.empty() || std::ranges::find(servingSet, host.name) != servingSet.end();
        if (!isMember || !membership::isServing(host))
            continue;
        auto freeCapacity = std::max(1 - host.load, minFreeCapacity);
        bool isInOtherDomain = !caller.failureDomain.empty() && host.failureDomain != caller.failureDomain;
        candidates.push_back({ &host, isInOtherDomain, freeCapacity, score(key, host, freeCapacity) });
    }
    EntryAnswer answer { {}, settings.timeToLive };
    if (candidates.empty())
        return answer;
    std::ranges::sort(candidates, {},
        [](const Candidate& candidate) { return std::pair(candidate.isInOtherDomain, candidate.score); });

    removeExpired(assignments, now, settings.timeToLive);
    auto firstInOtherDomain = std::ranges::find_if(candidates, &Candidate::isInOtherDomain);
    auto preferred = std::span(candidates)
                         .first(firstInOtherDomain == candidates.begin()
                                 ? candidates.size()
                                 : static_cast<size_t>(firstInOtherDomain - candidates.begin()));
    auto& assignment = assignments.byCaller[key];
    if (!assignment.host.empty())
        --assignments.callerCounts[assignment.host];
    double totalCallers = 1;
    double totalFreeCapacity = 0;
    for (const auto& candidate : preferred) {
        totalCallers += static_cast<double>(assignments.callerCounts[candidate.host->name]);
        totalFreeCapacity += candidate.freeCapacity;
    }
    auto isBelowShare = [&](const Candidate& candidate) {
        auto share = totalCallers * candidate.freeCapacity / totalFreeCapacity;
        return static_cast<double>(assignments.callerCounts[candidate.host->name]) + 1
            <= share * shareTolerance + extraCallers;
    };
    auto chosen = std::ranges::find_if(preferred, isBelowShare);
    if (chosen != preferred.end())
        std::rotate(preferred.begin(), chosen, chosen + 1);
    assignment = { candidates.front().host->name, now + settings.timeToLive };
    ++assignments.callerCounts[assignment.host];
    candidates.resize(std::min(candidates.size(), settings.hosts));
    std::ranges::transform(candidates, std::back_inserter(answer.hosts), [](const Candidate& it) { return *it.host; });
    return answer;
}

}
