#include "SearchFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace papayabend;
using namespace papayabend::query;
using papayabend::routing::AttemptStatus;
using namespace std::chrono_literals;

namespace {

struct CrashFixture : SearchFixture {
    CrashFixture()
    {
        auto settings = table.settings();
        settings.crashes.canary = routing::CanaryMode::Always;
        configure(settings);
    }

    void resend()
    {
        Search fresh;
        fresh.request = search.request;
        search = fresh;
    }
};

}

TEST_GROUP_BASE(Crash, CrashFixture) {};

// Guards against a new request that crashes one upstream of every shard at once, and another upstream with each retry.
TEST(Crash, RequestIsQuarantinedAfterTwoCrashes)
{
    start();
    LONGS_EQUAL(1, openAttempts.size());
    std::set<catalog::UpstreamId> lost { openAttempts[0].upstream };
    finish(0, AttemptStatus::ConnectionLost);
    CHECK(openAttempts.empty());
    LONGS_EQUAL(1, notices.size());
    advance(30ms);
    LONGS_EQUAL(1, openAttempts.size());
    lost.insert(openAttempts[0].upstream);
    LONGS_EQUAL(2, lost.size());
    finish(0, AttemptStatus::ConnectionLost);
    CHECK(refusal.has_value());
    CHECK(refusal->code == base::RefusalCode::Quarantined);
    CHECK(refusal->verdict == base::Verdict::MayHaveRun);
    CHECK(notices.back().isQuarantined);

    resend();
    refusal.reset();
    start();
    CHECK(refusal->verdict == base::Verdict::NotRun);
    CHECK(openAttempts.empty());
}

// Guards against hosts that send canary attempts of the same new request to different upstreams at the same time.
TEST(Crash, CanaryUpstreamIsTheSameOnEveryHost)
{
    start();
    auto chosen = openAttempts[0].upstream;
    for (uint64_t seed = 2; seed < 20; ++seed) {
        SearchFixture other;
        other.configure(table.settings());
        other.random.seed(seed);
        other.start();
        LONGS_EQUAL(catalog::toIndex(chosen), catalog::toIndex(other.openAttempts[0].upstream));
    }
}

// Guards against delaying a request by a canary attempt although the same request has succeeded before.
TEST(Crash, RequestThatSucceededBeforeIsSentToAllShardsAtOnce)
{
    start();
    finish(0);
    LONGS_EQUAL(2, openAttempts.size());
    finishAll();
    CHECK(isComplete(answer->coverage));
    resend();
    start();
    LONGS_EQUAL(3, openAttempts.size());
}

// Guards against failing or quarantining a request that was in flight on a crashed upstream but did not cause the
// crash.
TEST(Crash, RequestThatDidNotCauseTheCrashIsRetriedAndAnswered)
{
    start();
    finish(0);
    finish(0, AttemptStatus::ConnectionLost);
    finishAll();
    CHECK(answer.has_value());
    CHECK(isComplete(answer->coverage));
    CHECK_FALSE(routing.quarantine.isQuarantined(search.fingerprint, now));
    LONGS_EQUAL(0, routing.quarantine.crashes(search.fingerprint, now));
}

// Guards against sending a suspect again although another host has quarantined it in the meantime.
TEST(Crash, QuarantineNoticeOfAnotherHostStopsTheRetry)
{
    start();
    finish(0, AttemptStatus::ConnectionLost);
    auto notice = notices[0];
    notice.lostUpstream = 12345;
    notice.isQuarantined = true;
    routing.quarantine.received(notice, now);
    advance(30ms);
    CHECK(openAttempts.empty());
    CHECK(refusal->code == base::RefusalCode::Quarantined);
}

// Guards against a search that waits for a slow canary attempt, and against more than one hedge of it.
TEST(Crash, SlowCanaryIsHedgedOnce)
{
    recordTraffic();
    start();
    advance(10ms);
    LONGS_EQUAL(2, openAttempts.size());
    CHECK(openAttempts[0].upstream != openAttempts[1].upstream);
    finish(1);
    LONGS_EQUAL(2, openAttempts.size());
    finishAll();
    CHECK(isComplete(answer->coverage));
}
