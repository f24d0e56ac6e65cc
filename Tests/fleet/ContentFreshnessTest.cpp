#include "papayabend/fleet/ContentFreshness.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(ContentFreshness)
{
    base::TimePoint start { 100s };
    ContentFreshness freshness { .startedAt = start };
};

// Guards against ages that shrink when two hosts repeat each other's statements, so that none notices the loss of the
// readers.
TEST(ContentFreshness, RepeatedStatementsDoNotBecomeFresher)
{
    ContentFreshness other { .startedAt = start };
    recordAnswer(freshness, false, start);
    constexpr base::Duration travelTime { 30ms };
    for (auto now = start; now < start + 5s; now += 100ms) {
        recordStatement(other, now - confirmedAt(freshness), now + travelTime);
        recordStatement(freshness, now - confirmedAt(other), now + travelTime);
    }
    CHECK_TRUE(confirmedAt(freshness) == start);
    CHECK_TRUE(confirmedAt(other) <= start);
}

// Guards against a host that relies on readers that have fallen silent, and against all hosts reading at one moment.
TEST(ContentFreshness, HostsStandInAfterTheBoundSpreadBySlot)
{
    recordStatement(freshness, 0ms, start + 1s);
    auto due = confirmedAt(freshness) + freshnessBound;
    CHECK_TRUE(readingDueAt(freshness, 0, 4) == due);
    CHECK_TRUE(readingDueAt(freshness, 2, 4) == due + standInSpread / 2);
    CHECK_TRUE(readingDueAt(freshness, 9, 4) == due + standInSpread);
    updateStandIn(freshness, 2, 4, due + standInSpread / 2 - 1ms);
    CHECK_FALSE(freshness.standsInSince.has_value());
    updateStandIn(freshness, 2, 4, due + standInSpread / 2);
    CHECK_TRUE(freshness.standsInSince.has_value());
}

// Guards against a host that gives up reading because others repeat its own answers, and against one that reads on
// although another reader is there again.
TEST(ContentFreshness, StandInEndsWhenAnotherReaderIsConfirmed)
{
    auto now = start + 3s;
    updateStandIn(freshness, 0, 1, now);
    recordAnswer(freshness, false, now);
    recordStatement(freshness, 10ms, now + 15ms);
    updateStandIn(freshness, 0, 1, now + 100ms);
    CHECK_TRUE(freshness.standsInSince.has_value());
    recordStatement(freshness, 0ms, now + 200ms);
    updateStandIn(freshness, 0, 1, now + 200ms);
    CHECK_FALSE(freshness.standsInSince.has_value());
}

// Guards against two readers that answer at the same moment, so that other hosts hear nothing for a whole cycle.
TEST(ContentFreshness, SecondReaderAnswersHalfACycleAfterTheOther)
{
    for (auto pause : { 0ms, 1350ms, 1700ms, 2900ms, 5000ms }) {
        recordStatement(freshness, 0ms, start + travelAllowance);
        auto now = start + pause;
        auto answer = now + watchTime(ReaderKind::Second, freshness, now);
        auto phase = (answer - start) % readerCycle;
        CHECK_TRUE(answer - now <= 3s);
        CHECK_TRUE(phase == readerCycle / 2 || answer - now == 3s);
    }
}

// Guards against a second reader that follows the echo of its own answers.
TEST(ContentFreshness, OwnAnswerHeardFromOthersMovesNoCycle)
{
    recordStatement(freshness, 0ms, start);
    auto cycleAt = freshness.cycleAt;
    recordAnswer(freshness, false, start + 1s);
    recordStatement(freshness, 0ms, start + 1s + 5ms);
    CHECK_TRUE(freshness.cycleAt == cycleAt);
    recordAnswer(freshness, true, start + 2s);
    CHECK_TRUE(freshness.cycleAt == start + 2s);
}
