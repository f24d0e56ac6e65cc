#include "papayabend/dispatch/Subrequest.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(Subrequest)
{
    SubrequestPolicy nonIdempotent { false, 3, 50ms };
    SubrequestPolicy idempotent { true, 2, 50ms };
    base::TimePoint now { 100s };
};

// Guards against a non-idempotent request that runs twice.
TEST(Subrequest, NonIdempotentRequestIsRetriedOnlyAfterProofThatItHasNotRun)
{
    CHECK_FALSE(mayRetry(nonIdempotent, { .sent = 1, .provenNotRun = 0 }));
    CHECK_TRUE(mayRetry(nonIdempotent, { .sent = 1, .provenNotRun = 1 }));
    CHECK_TRUE(mayRetry(nonIdempotent, { .unsent = 1 }));
    CHECK_FALSE(mayRetry(nonIdempotent, { .inFlight = 1 }));
    CHECK_FALSE(isHedgeDue(nonIdempotent, { .sent = 1, .inFlight = 1, .lastSentAt = now }, now + 10s));
}

// Guards against a request that runs on more upstreams than its route allows.
TEST(Subrequest, AttemptsThatMayHaveRunAreBounded)
{
    CHECK_TRUE(mayRetry(idempotent, { .sent = 1 }));
    CHECK_FALSE(mayRetry(idempotent, { .sent = 2 }));
    CHECK_TRUE(mayRetry(idempotent, { .sent = 2, .provenNotRun = 1 }));
}

// Guards against a second attempt while the first one waits for a connection: both could then be sent and run.
TEST(Subrequest, WaitingAttemptCountsAsOneThatMayRun)
{
    SubrequestPolicy single { true, 1, 50ms };
    CHECK_FALSE(mayRetry(single, { .inFlight = 1, .waiting = 1 }));
    CHECK_FALSE(mayRetry(idempotent, { .sent = 1, .inFlight = 1, .waiting = 1 }));
    CHECK_FALSE(mayRetry(idempotent, { .sent = 1, .inFlight = 2, .waiting = 1 }));
    CHECK_FALSE(mayRetry(idempotent, { .sent = 1, .provenNotRun = 1, .inFlight = 2, .waiting = 2 }));
    CHECK_TRUE(mayRetry(idempotent, { .sent = 1, .provenNotRun = 1, .inFlight = 1, .waiting = 1 }));
}

// Guards against an attempt that has waited for a connection and is sent although the others have used up the attempts
// of the route meanwhile.
TEST(Subrequest, WaitingAttemptIsNotSentBeyondTheBound)
{
    CHECK_TRUE(maySend(idempotent, { .sent = 1, .inFlight = 2, .waiting = 1 }));
    CHECK_FALSE(maySend(idempotent, { .sent = 2, .inFlight = 1, .waiting = 1 }));
    CHECK_TRUE(maySend(idempotent, { .sent = 2, .provenNotRun = 1, .inFlight = 1, .waiting = 1 }));
    CHECK_FALSE(maySend(nonIdempotent, { .sent = 1, .inFlight = 1, .waiting = 1 }));
    CHECK_TRUE(maySend(nonIdempotent, { .sent = 1, .provenNotRun = 1, .inFlight = 1, .waiting = 1 }));
}

// Guards against a hedge beside a retry that waits for a connection, timed by the send of an attempt that is lost.
TEST(Subrequest, NoHedgeIsDueWhileTheOnlyAttemptWaits)
{
    SubrequestPolicy three { true, 3, 50ms };
    CHECK_FALSE(isHedgeDue(three, { .sent = 1, .inFlight = 1, .waiting = 1, .lastSentAt = now }, now + 1s));
    CHECK_FALSE(isHedgeDue(three, { .inFlight = 1, .waiting = 1 }, now + 1s));
}

// Guards against counts that drift apart, whatever the order of sends and ends.
TEST(Subrequest, HistoryCountsEachAttemptOnce)
{
    SubrequestHistory history;
    attemptQueued(history);
    attemptQueued(history);
    LONGS_EQUAL(2, history.waiting);
    attemptSent(history, now);
    attemptEnded(history, true, true);
    LONGS_EQUAL(1, history.provenNotRun);
    attemptEnded(history, false, true);
    LONGS_EQUAL(1, history.unsent);
    LONGS_EQUAL(0, history.waiting);
    LONGS_EQUAL(0, history.inFlight);
    CHECK_TRUE(history.lastSentAt == now);
}

// Guards against endless attempts at one upstream after the other while all of them refuse the request.
TEST(Subrequest, RefusedAttemptsAreBounded)
{
    CHECK_FALSE(mayRetry(idempotent, { .sent = 5, .provenNotRun = 5 }));
    CHECK_FALSE(mayRetry(idempotent, { .unsent = 5 }));
}

// Guards against hedges that are sent before the hedge delay has passed.
TEST(Subrequest, HedgeIsDueAfterItsDelay)
{
    SubrequestHistory history { .sent = 1, .inFlight = 1, .lastSentAt = now };
    CHECK_FALSE(isHedgeDue(idempotent, history, now + 49ms));
    CHECK_TRUE(isHedgeDue(idempotent, history, now + 50ms));
}

// Guards against the verdict "not run" for a request that an upstream may have run.
TEST(Subrequest, VerdictCountsSentAttempts)
{
    CHECK_TRUE(verdictOf({ .unsent = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 1 }) == base::Verdict::MayHaveRun);
}

// Guards against a request that keeps waiting past its objective although no upstream can have run it, while its client
// could try another host.
TEST(Subrequest, RequestThatNoUpstreamRanIsRefusedAtItsObjective)
{
    CHECK_FALSE(isRefusalDue({ .inFlight = 1 }, now + 1ms, now));
    CHECK_TRUE(isRefusalDue({ .inFlight = 1 }, now, now));
    CHECK_TRUE(isRefusalDue({ .sent = 1, .provenNotRun = 1 }, now, now));
    CHECK_FALSE(isRefusalDue({ .sent = 1, .inFlight = 1 }, now, now + 1s));
}
