#include "papayabend/dispatch/UpstreamReach.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamReach)
{
    std::vector<ReachObservation> upstreams { 20 };
    UpstreamReach reach;
    base::TimePoint now { 100s };

    /** Tries all upstreams each 50 ms for \a time; the first \a answering of them answer. Returns when the state
     * changed first. */
    base::Duration play(base::Duration time, size_t answering)
    {
        auto since = now;
        auto changed = base::Duration::max();
        for (; now - since < time; now += 50ms) {
            ReachCounts counts;
            for (size_t n = 0; n < upstreams.size(); ++n) {
                recordTry(upstreams[n], now);
                if (n < answering)
                    recordAnswer(upstreams[n], now);
                dispatch::count(counts, upstreams[n], now);
            }
            if (update(reach, counts, upstreams.size()))
                changed = std::min<base::Duration>(changed, now - since);
        }
        return changed;
    }
};

// Guards against a host that goes on trying upstreams that it cannot reach while others could serve its callers.
TEST(UpstreamReach, LossAndReturnOfAllLinksAreNoticedInASecond)
{
    CHECK_TRUE(play(5s, 20) == base::Duration::max());
    CHECK_TRUE(isReached(reach, now));
    CHECK_TRUE(play(5s, 0) < 1s);
    CHECK_TRUE(reach.isLost && needsProbes(reach));
    CHECK_TRUE(play(5s, 20) < 1s);
    CHECK_FALSE(reach.isLost || needsProbes(reach));
}

// Guards against a host that is taken out of service because some upstreams fail.
TEST(UpstreamReach, LossOfHalfOfTheUpstreamsIsNoLossOfTheLinks)
{
    play(2s, 20);
    CHECK_TRUE(play(10s, 10) == base::Duration::max());
    CHECK_FALSE(isReached(reach, now));
}

// Guards against a state that changes to and fro while a part of the upstreams is reached.
TEST(UpstreamReach, LinksAreFoundAgainOnlyWhenHalfOfTheUpstreamsAnswer)
{
    play(5s, 0);
    CHECK_TRUE(play(5s, 8) == base::Duration::max());
    CHECK_TRUE(play(5s, 11) < 1s);
}

// Guards against a loss that is concluded from a single slow upstream, or from tries long ago.
TEST(UpstreamReach, FewOrOldTriesProveNothing)
{
    recordTry(upstreams[0], now);
    now += 1s;
    ReachCounts counts;
    dispatch::count(counts, upstreams[0], now);
    LONGS_EQUAL(1, counts.silent);
    CHECK_FALSE(update(reach, counts, upstreams.size()));
    CHECK_TRUE(needsProbes(reach));
    now += 1min;
    recordTry(upstreams[0], now);
    counts = {};
    dispatch::count(counts, upstreams[0], now);
    LONGS_EQUAL(0, counts.silent);
}

// Guards against an idle host that other hosts never pass requests on to.
TEST(UpstreamReach, IdleHostIsExpectedToReachUpstreamsForAWhile)
{
    play(1s, 20);
    update(reach, { 0, 0, now }, upstreams.size());
    CHECK_TRUE(isReached(reach, now + 4s));
    CHECK_FALSE(isReached(reach, now + 6s));
}
