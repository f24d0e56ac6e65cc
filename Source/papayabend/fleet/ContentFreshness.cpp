#include "papayabend/fleet/ContentFreshness.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    // Longest time for which the store is asked to hold a watch open.
    constexpr base::Duration maxWatchTime { std::chrono::seconds(3) };
    // A watch that the store is to answer at once.
    constexpr base::Duration minWatchTime { std::chrono::milliseconds(10) };
    // Changes often come in series. With a delay after each answer, the next call returns several of them.
    constexpr base::Duration batchDelay { std::chrono::milliseconds(150) };
    // In this time a host that stands in only because of lost datagrams hears the other readers and makes no second
    // call. 1,600 hosts that stand in at a time of many changes make at most 3,300 calls a second.
    constexpr base::Duration standInPause { std::chrono::milliseconds(500) };
    // The second reader makes no call in the first part of its half of a cycle. The other reader sees changes then, and
    // a series of changes costs the second reader one call.
    constexpr base::Duration secondReaderPause { std::chrono::milliseconds(1350) };
    constexpr base::Duration halfCycle = readerCycle / 2;
    constexpr base::Duration standInWatchTime { std::chrono::milliseconds(1200) };

}

ReaderKind readerKind(std::optional<size_t> rank)
{
    if (!rank)
        return ReaderKind::StandIn;
    return *rank == 1 ? ReaderKind::Second : ReaderKind::First;
}

void recordAnswer(ContentFreshness& freshness, bool hasChanges, base::TimePoint now)
{
    freshness.answeredAt = now;
    // Other readers receive an answer to the same change at this moment.
    if (hasChanges)
        freshness.cycleAt = now;
}

void recordStatement(ContentFreshness& freshness, base::Duration age, base::TimePoint now)
{
    auto at = now - age - travelAllowance;
    freshness.statedAt = std::max(freshness.statedAt, at);
    // Older statements may be this host's own answer, which others repeat.
    if (at > freshness.answeredAt)
        freshness.cycleAt = std::max(freshness.cycleAt, at);
}

base::TimePoint confirmedAt(const ContentFreshness& freshness)
{
    return std::max(freshness.answeredAt, freshness.statedAt);
}

base::TimePoint readingDueAt(const ContentFreshness& freshness, size_t slot, size_t slots)
{
    auto position = std::min(slot, slots);
    auto delay = standInSpread * position / std::max<size_t>(slots, 1);
    auto since = std::max({ confirmedAt(freshness), freshness.startedAt, freshness.restartedAt });
    return since + freshnessBound + delay;
}

void updateStandIn(ContentFreshness& freshness, size_t slot, size_t slots, base::TimePoint now)
{
    if (!freshness.standsInSince) {
        if (now >= readingDueAt(freshness, slot, slots))
            freshness.standsInSince = now;
        return;
    }
    // Others repeat this host's own answers, with a higher age. A newer confirmation is that of another reader.
    if (freshness.statedAt > freshness.answeredAt && now - freshness.statedAt < freshnessBound)
        freshness.standsInSince.reset();
}

base::Duration pauseAfterAnswer(ReaderKind kind, bool hasChanges)
{
    switch (kind) {
    case ReaderKind::First:
        return hasChanges ? batchDelay : readerCycle - maxWatchTime;
    case ReaderKind::Second:
        return secondReaderPause;
    case ReaderKind::StandIn:
        break;
    }
    return standInPause;
}

base::Duration watchTime(ReaderKind kind, const ContentFreshness& freshness, base::TimePoint now)
{
    if (kind != ReaderKind::Second)
        return kind == ReaderKind::StandIn ? standInWatchTime : maxWatchTime;
    auto first = freshness.cycleAt + halfCycle;
    auto earliest = now + minWatchTime;
    auto passedCycles = earliest < first ? 0 : (earliest - first) / readerCycle + 1;
    return std::clamp<base::Duration>(first + readerCycle * passedCycles - now, minWatchTime, maxWatchTime);
}

}
