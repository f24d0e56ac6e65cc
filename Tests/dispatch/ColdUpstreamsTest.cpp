#include "papayabend/dispatch/UpstreamGate.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(ColdUpstreams)
{
    ColdUpstreams cold;
    base::TimePoint now { 100s };
    discovery::UpstreamEntry entry;
};

// Guards against an upstream that stays cold, or is warm, by a statement that a later one has replaced.
TEST(ColdUpstreams, StatementThatWasReadLastHolds)
{
    entry.reportedAt = now;
    entry.record.warmUpLeft = 10s;
    CHECK_TRUE(cold.coldUntil(entry, 1) == now + 10s);
    CHECK_TRUE(cold.observe(1, 3s, now + 1s));
    CHECK_TRUE(cold.coldUntil(entry, 1) == now + 4s);
    entry.reportedAt = now + 2s;
    CHECK_TRUE(cold.coldUntil(entry, 1) == now + 12s);
    CHECK_FALSE(cold.observe(1, 0s, now + 3s));
    CHECK_TRUE(cold.coldUntil(entry, 1) == now + 3s);
    CHECK_TRUE(cold.observe(1, 1s, now + 60s));
    CHECK_TRUE(cold.coldUntil(entry, 2) == now + 12s);
}

// Guards against more attempts in a window than allotted, and against a wait that ends too early or never.
TEST(ColdUpstreams, AttemptsInAnyWindowAreBounded)
{
    CHECK_TRUE(cold.waitFor(1, 0, now) == coldWindow);
    cold.take(1, now);
    cold.take(1, now + 400ms);
    CHECK_TRUE(cold.waitFor(1, 3, now + 500ms).count() == 0);
    auto wait = cold.waitFor(1, 2, now + 500ms);
    CHECK_TRUE(wait > 500ms && wait <= coldWindow);
    CHECK_TRUE(cold.waitFor(1, 2, now + 500ms + wait).count() == 0);
    CHECK_TRUE(cold.waitFor(1, 1, now + 500ms + wait) > 300ms);
}

// Guards against urgent requests that find the bound used up by others, and against classes that get nothing.
TEST(ColdUpstreams, ClassesLeaveAttemptsToMoreUrgentOnes)
{
    LONGS_EQUAL(8, coldAllotmentOf(8, 0));
    LONGS_EQUAL(6, coldAllotmentOf(8, 1));
    LONGS_EQUAL(1, coldAllotmentOf(8, 9));
    LONGS_EQUAL(1, coldAllotmentOf(1, 3));
    LONGS_EQUAL(0, coldAllotmentOf(0, 0));
}

// Guards against a bound that applies to a service that states none, or to a warm upstream.
TEST(ColdUpstreams, GateBoundsOnlyColdUpstreamsOfServicesThatStateABound)
{
    UpstreamGate gate;
    gate.coldPart = 0;
    entry.reportedAt = now;
    entry.record.warmUpLeft = 10s;
    GateQuery query { .coldBound = { 20 }, .now = now };
    CHECK_TRUE(reasonAgainst(gate, { entry }, query) == GateReason::Cold);
    gate.coldPart = 1;
    CHECK_TRUE(reasonAgainst(gate, { entry }, query) == GateReason::None);
    CHECK_TRUE(reasonAgainst(gate, { entry, {}, 20 }, query) == GateReason::Cold);
    query.isHedge = true;
    CHECK_TRUE(reasonAgainst(gate, { entry }, query) == GateReason::Cold);
    query.coldBound = {};
    CHECK_TRUE(reasonAgainst(gate, { entry }, query) == GateReason::None);
    query.coldBound = { 20 };
    query.now = now + 10s;
    CHECK_TRUE(reasonAgainst(gate, { entry }, query) == GateReason::None);
}
