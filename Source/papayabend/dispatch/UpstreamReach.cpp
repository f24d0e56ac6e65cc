#include "papayabend/dispatch/UpstreamReach.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    constexpr uint32_t minSilent = 3;
    // Shares in tenths of the upstreams that were tried lately.
    constexpr uint32_t lostTenths = 7;

}

void recordTry(ReachObservation& observation, base::TimePoint now)
{
    // A try long ago says nothing about the time since.
    if (observation.tryingSince == base::TimePoint {} || now - observation.triedAt > reachWindow)
        observation.tryingSince = now;
    observation.triedAt = now;
}

void recordAnswer(ReachObservation& observation, base::TimePoint now)
{
    observation.answeredAt = now;
    observation.tryingSince = {};
}

void count(ReachCounts& counts, const ReachObservation& observation, base::TimePoint now)
{
    counts.answeredAt = std::max(counts.answeredAt, observation.answeredAt);
    auto isTrying = observation.tryingSince != base::TimePoint {} && now - observation.triedAt <= reachWindow;
    if (isTrying && now - observation.tryingSince >= silenceTime)
        ++counts.silent;
    else if (observation.answeredAt != base::TimePoint {} && now - observation.answeredAt <= reachWindow)
        ++counts.answering;
}

bool update(UpstreamReach& reach, const ReachCounts& counts, size_t listed)
{
    auto wasLost = reach.isLost;
    reach.counts = counts;
    auto tried = counts.answering + counts.silent;
    auto least = std::min<uint32_t>(minSilent, static_cast<uint32_t>(std::max<size_t>(listed, 1)));
    if (reach.isLost)
        reach.isLost = counts.answering == 0 || counts.answering < counts.silent;
    else
        reach.isLost = counts.silent >= least && 10 * counts.silent >= lostTenths * tried;
    return reach.isLost != wasLost;
}

bool isReached(const UpstreamReach& reach, base::TimePoint now)
{
    const auto& counts = reach.counts;
    return !reach.isLost && counts.answeredAt != base::TimePoint {} && now - counts.answeredAt <= reachedTime
        && 2 * counts.silent <= counts.answering;
}

bool needsProbes(const UpstreamReach& reach)
{
    return reach.isLost || (reach.counts.silent > 0 && reach.counts.answering == 0);
}

}
