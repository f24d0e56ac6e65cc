#include "papayabend/dispatch/Subrequest.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(Subrequest)
{
    SubrequestPolicy once { false, 3, 50ms };
    SubrequestPolicy idempotent { true, 2, 50ms };
    base::TimePoint now { 100s };
};

// Guards against a non-idempotent request that runs twice.
TEST(Subrequest, NonIdempotentRequestIsRepeatedOnlyAfterProofThatItHasNotRun)
{
    CHECK_FALSE(mayRetry(once, { .sent = 1, .provenNotRun = 0 }));
    CHECK_TRUE(mayRetry(once, { .sent = 1, .provenNotRun = 1 }));
    CHECK_TRUE(mayRetry(once, { .unsent = 1 }));
    CHECK_FALSE(mayRetry(once, { .inFlight = 1 }));
    CHECK_FALSE(isHedgeDue(once, { .sent = 1, .inFlight = 1, .lastSentAt = now }, now + 10s));
}

// Guards against a request that runs on more upstreams than its route allows.
TEST(Subrequest, AttemptsThatMayHaveRunAreBounded)
{
    CHECK_TRUE(mayRetry(idempotent, { .sent = 1 }));
    CHECK_FALSE(mayRetry(idempotent, { .sent = 2 }));
    CHECK_TRUE(mayRetry(idempotent, { .sent = 2, .provenNotRun = 1 }));
}

// Guards against a second attempt beside one that waits for its connection and may be sent as well.
TEST(Subrequest, WaitingAttemptCountsAsOneThatMayRun)
{
    SubrequestPolicy single { true, 1, 50ms };
    CHECK_FALSE(mayRetry(single, { .inFlight = 1 }));
}

// Guards against a request that goes from upstream to upstream without end while all refuse it.
TEST(Subrequest, RefusedAttemptsAreBounded)
{
    CHECK_FALSE(mayRetry(idempotent, { .sent = 5, .provenNotRun = 5 }));
    CHECK_FALSE(mayRetry(idempotent, { .unsent = 5 }));
}

// Guards against hedges that are sent before the usual latency has passed.
TEST(Subrequest, HedgeIsDueAfterItsDelay)
{
    SubrequestHistory history { .sent = 1, .inFlight = 1, .lastSentAt = now };
    CHECK_FALSE(isHedgeDue(idempotent, history, now + 49ms));
    CHECK_TRUE(isHedgeDue(idempotent, history, now + 50ms));
}

// Guards against a refusal that says "not run" of a request that was sent.
TEST(Subrequest, VerdictCountsSentAttempts)
{
    CHECK_TRUE(verdictOf({ .unsent = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 2 }) == base::Verdict::NotRun);
    CHECK_TRUE(verdictOf({ .sent = 2, .provenNotRun = 1 }) == base::Verdict::MayHaveRun);
}

// Guards against a request that no upstream has taken and that waits on while its client could ask another host.
TEST(Subrequest, RequestThatNoUpstreamTookIsRefusedAtItsObjective)
{
    CHECK_FALSE(isRefusalDue({ .inFlight = 1 }, now + 1ms, now));
    CHECK_TRUE(isRefusalDue({ .inFlight = 1 }, now, now));
    CHECK_TRUE(isRefusalDue({ .sent = 1, .provenNotRun = 1 }, now, now));
    CHECK_FALSE(isRefusalDue({ .sent = 1, .inFlight = 1 }, now, now + 1s));
}
