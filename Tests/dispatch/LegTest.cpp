#include "papayabend/dispatch/Leg.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(Leg)
{
    LegPolicy nonIdempotent { false, 3, 50ms };
    LegPolicy idempotent { true, 2, 50ms };
    base::TimePoint now { 100s };
};

// Guards against a non-idempotent request that runs twice.
TEST(Leg, NonIdempotentRequestIsRepeatedOnlyAfterProofThatItHasNotRun)
{
    CHECK_FALSE(mayRepeat(nonIdempotent, { .sent = 1, .provenNotRun = 0 }));
    CHECK_TRUE(mayRepeat(nonIdempotent, { .sent = 1, .provenNotRun = 1 }));
    CHECK_TRUE(mayRepeat(nonIdempotent, { .unsent = 1 }));
    CHECK_FALSE(mayRepeat(nonIdempotent, { .inFlight = 1 }));
    CHECK_FALSE(isHedgeDue(nonIdempotent, { .sent = 1, .inFlight = 1, .lastSentAt = now }, now + 10s));
}

// Guards against a request that runs on more upstreams than its route allows.
TEST(Leg, AttemptsThatMayHaveRunAreBounded)
{
    CHECK_TRUE(mayRepeat(idempotent, { .sent = 1 }));
    CHECK_FALSE(mayRepeat(idempotent, { .sent = 2 }));
    CHECK_TRUE(mayRepeat(idempotent, { .sent = 2, .provenNotRun = 1 }));
}

// Guards against a second attempt while the first one waits for a connection: both could then be sent and run.
TEST(Leg, WaitingAttemptCountsAsOneThatMayRun)
{
    LegPolicy single { true, 1, 50ms };
    CHECK_FALSE(mayRepeat(single, { .inFlight = 1 }));
}

// Guards against endless attempts at one upstream after the other while all of them refuse the request.
TEST(Leg, RefusedAttemptsAreBounded)
{
    CHECK_FALSE(mayRepeat(idempotent, { .sent = 5, .provenNotRun = 5 }));
    CHECK_FALSE(mayRepeat(idempotent, { .unsent = 5 }));
}

// Guards against hedges that are sent before the hedge delay has passed.
TEST(Leg, HedgeIsDueAfterItsDelay)
{
    LegHistory history { .sent = 1, .inFlight = 1, .lastSentAt = now };
    CHECK_FALSE(isHedgeDue(idempotent, history, now + 49ms));
    CHECK_TRUE(isHedgeDue(idempotent, history, now + 50ms));
}

// Guards against the verdict "not run" for a request that an upstream may have run.
TEST(Leg, VerdictCountsSentAttempts)
{
    CHECK_TRUE(verdictOf({ .unsent = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 1 }) == base::Verdict::MayHaveRun);
}

// Guards against a request that keeps waiting past its objective although no upstream can have run it, while its client
// could try another host.
TEST(Leg, RequestThatNoUpstreamRanIsRefusedAtItsObjective)
{
    CHECK_FALSE(isRefusalDue({ .inFlight = 1 }, now + 1ms, now));
    CHECK_TRUE(isRefusalDue({ .inFlight = 1 }, now, now));
    CHECK_TRUE(isRefusalDue({ .sent = 1, .provenNotRun = 1 }, now, now));
    CHECK_FALSE(isRefusalDue({ .sent = 1, .inFlight = 1 }, now, now + 1s));
}
