#include "papayabend/dispatch/UpstreamHolds.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamHolds)
{
    UpstreamHolds holds;
    base::Random random { 1 };
    base::TimePoint now { 100s };
};

// Guards against requests before the end of a pause, against a shorter pause that replaces a longer one, and against
// one without end.
TEST(UpstreamHolds, PauseLastsAtLeastAsLongAsAsked)
{
    holds.addPause(1, 2s, random, now);
    holds.addPause(1, 100ms, random, now);
    CHECK_TRUE(holds.pauseLeft(1, now) >= 2s && holds.pauseLeft(1, now) <= 2500ms);
    CHECK_TRUE(holds.pauseLeft(2, now) == 0s);
    CHECK_TRUE(holds.pauseLeft(1, now + 3s) == 0s);
    holds.addPause(3, 24h, random, now);
    CHECK_TRUE(holds.pauseLeft(3, now) <= UpstreamHolds::maxPause + 1s);
}

// Guards against hosts that all return at the same moment.
TEST(UpstreamHolds, ReturnsAreSpread)
{
    std::set<base::Duration> ends;
    for (uint64_t n = 0; n < 20; ++n) {
        holds.addPause(n, 2s, random, now);
        ends.insert(holds.pauseLeft(n, now));
    }
    CHECK_TRUE(*ends.rbegin() - *ends.begin() > 200ms);
}

// Guards against memory that grows with every upstream that ever left or paused, and against forgetting one that
// leaves.
TEST(UpstreamHolds, HoldsEnd)
{
    CHECK_TRUE(holds.addLeaving(1, now));
    CHECK_FALSE(holds.addLeaving(1, now));
    holds.addPause(2, 2s, random, now);
    holds.expire(now + 60s);
    CHECK_TRUE(holds.isLeaving(1));
    LONGS_EQUAL(0, holds.countPaused(now + 60s));
    LONGS_EQUAL(1, holds.countLeaving());
    holds.expire(now + 11min);
    CHECK_TRUE(holds.isEmpty());
}
