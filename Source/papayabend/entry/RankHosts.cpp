#include "papayabend/entry/RankHosts.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>

namespace papayabend::entry {

namespace {

    // Callers above a host's even part, relative and absolute, before the next host of the ranking is named first.
    constexpr double tolerance = 1.04;
    constexpr double slack = 1;

    // A host at full load is still named to some callers, as its load may be reported late.
    constexpr double minFreePart = 0.05;

    // Callers remembered for the spread; above it the counts start again.
    constexpr size_t maxCallers = 100'000;

    struct Candidate {
        const membership::HostObservation* host { nullptr };
        bool isFar { false };
        double freePart { 1 };
        double score { 0 };
    };

    void forget(CallerAssignments& assignments, base::TimePoint now, base::Duration interval)
    {
        if (now - assignments.lastCleaning < interval && assignments.byCaller.size() < maxCallers)
            return;
        assignments.lastCleaning = now;
        bool isFull = assignments.byCaller.size() >= maxCallers;
        std::erase_if(assignments.byCaller, [&](const auto& entry) { return isFull || entry.second.until <= now; });
        assignments.callers.clear();
        for (const auto& [caller, assignment] : assignments.byCaller)
            ++assignments.callers[assignment.host];
    }

    /** Weighted rendezvous hashing: the lowest score wins, and hosts win in proportion to their free part. */
    double score(std::string_view key, const membership::HostObservation& host, double freePart)
    {
        auto uniform = static_cast<double>(base::rendezvousScore(key, host.name) >> 11U) * 0x1.0p-53;
        return -std::log(1 - uniform) / freePart;
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
        auto freePart = std::max(1 - host.load, minFreePart);
        bool isFar = !caller.failureDomain.empty() && host.failureDomain != caller.failureDomain;
        candidates.push_back({ &host, isFar, freePart, score(key, host, freePart) });
    }
    EntryAnswer answer { {}, settings.timeToLive };
    if (candidates.empty())
        return answer;
    std::ranges::sort(
        candidates, {}, [](const Candidate& candidate) { return std::pair(candidate.isFar, candidate.score); });

    forget(assignments, now, settings.timeToLive);
    auto near = std::ranges::find_if(candidates, &Candidate::isFar);
    auto group
        = std::span(candidates)
              .first(near == candidates.begin() ? candidates.size() : static_cast<size_t>(near - candidates.begin()));
    auto& assignment = assignments.byCaller[key];
    if (!assignment.host.empty())
        --assignments.callers[assignment.host];
    double callers = 1;
    double freeParts = 0;
    for (const auto& candidate : group) {
        callers += static_cast<double>(assignments.callers[candidate.host->name]);
        freeParts += candidate.freePart;
    }
    auto hasRoom = [&](const Candidate& candidate) {
        auto even = callers * candidate.freePart / freeParts;
        return static_cast<double>(assignments.callers[candidate.host->name]) + 1 <= even * tolerance + slack;
    };
    auto chosen = std::ranges::find_if(group, hasRoom);
    if (chosen != group.end())
        std::rotate(group.begin(), chosen, chosen + 1);
    assignment = { candidates.front().host->name, now + settings.timeToLive };
    ++assignments.callers[assignment.host];
    candidates.resize(std::min(candidates.size(), settings.hosts));
    std::ranges::transform(candidates, std::back_inserter(answer.hosts), [](const Candidate& it) { return *it.host; });
    return answer;
}

}
