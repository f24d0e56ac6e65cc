#include "SearchFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace papayabend;
using namespace papayabend::query;
using papayabend::routing::AttemptStatus;
using namespace std::chrono_literals;

TEST_GROUP_BASE(Hedge, SearchFixture) {};

// Guards against a search that is as slow as its slowest replica, against a hedge to the same upstream, and against
// attempts that continue after the other one has been answered.
TEST(Hedge, SlowShardIsHedgedOnAnotherReplicaAndTheSlowerAttemptCancelled)
{
    recordTraffic();
    start();
    finish(0);
    finish(0);
    auto slow = openAttempts[0];
    advance(4ms);
    LONGS_EQUAL(1, openAttempts.size());
    advance(4ms);
    LONGS_EQUAL(2, openAttempts.size());
    CHECK(openAttempts[1].shard == slow.shard);
    CHECK(openAttempts[1].upstream != slow.upstream);
    finish(1);
    CHECK(answer.has_value());
    CHECK(isComplete(answer->coverage));
    CHECK(openAttempts.empty());
    LONGS_EQUAL(4, answer->attempts);
}

// Guards against more hedges than the budget of the client account allows.
TEST(Hedge, HedgesStayWithinTheBudget)
{
    recordTraffic(37);
    recordTraffic(0);
    start();
    advance(100ms);
    LONGS_EQUAL(3 + 2, openAttempts.size());
}

// Guards against hedges that add load to an overloaded service.
TEST(Hedge, NoHedgeDuringOverload)
{
    recordTraffic();
    start();
    routing.attemptLatencies.countAttempts("s", 100, 50, now);
    advance(20ms);
    LONGS_EQUAL(3, openAttempts.size());
}

// Guards against hedges in the baseline, which disables hedging.
TEST(Hedge, NoHedgeInTheBaseline)
{
    configure(routing::plainBaseline());
    recordTraffic();
    start();
    advance(500ms);
    LONGS_EQUAL(3, openAttempts.size());
}
