#include "SearchFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace papayabend;
using namespace papayabend::query;
using papayabend::routing::AttemptStatus;
using namespace std::chrono_literals;

TEST_GROUP_BASE(Hedge, SearchFixture) {};

// Guards against one slow replica that determines the latency of the search, and against hedges that go to the
// same upstream or run on after the answer.
TEST(Hedge, SlowShardIsHedgedOnAnotherReplicaAndTheLoserCancelled)
{
    addTraffic();
    start();
    end(0);
    end(0);
    auto slow = open[0];
    advance(4ms);
    LONGS_EQUAL(1, open.size());
    advance(4ms);
    LONGS_EQUAL(2, open.size());
    CHECK(open[1].shard == slow.shard);
    CHECK(open[1].upstream != slow.upstream);
    end(1);
    CHECK(answer.has_value());
    CHECK(isComplete(answer->coverage));
    CHECK(open.empty());
    LONGS_EQUAL(4, answer->attempts);
}

// Guards against extra attempts beyond the budget of the client account.
TEST(Hedge, BudgetIsKept)
{
    addTraffic(37);
    addTraffic(0);
    start();
    advance(100ms);
    LONGS_EQUAL(3 + 2, open.size());
}

// Guards against hedges that turn a slow service into an overloaded one.
TEST(Hedge, OffUnderOverload)
{
    addTraffic();
    start();
    routing.latencies.recordPressure("s", 100, 50, now);
    advance(20ms);
    LONGS_EQUAL(3, open.size());
}

// Guards against a hedge when hedging is switched off for the baseline.
TEST(Hedge, OffInTheBaseline)
{
    use(routing::plainBaseline());
    addTraffic();
    start();
    advance(500ms);
    LONGS_EQUAL(3, open.size());
}
