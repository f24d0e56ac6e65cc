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
        use(settings);
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

// Guards against a new request that crashes one upstream of every shard at once, and a second one on each retry.
TEST(Crash, RequestThatCrashesUpstreamsIsRefusedAfterTwo)
{
    start();
    LONGS_EQUAL(1, open.size());
    std::set<catalog::UpstreamId> lost { open[0].upstream };
    end(0, AttemptStatus::ConnectionLost);
    CHECK(open.empty());
    LONGS_EQUAL(1, notices.size());
    advance(30ms);
    LONGS_EQUAL(1, open.size());
    lost.insert(open[0].upstream);
    LONGS_EQUAL(2, lost.size());
    end(0, AttemptStatus::ConnectionLost);
    CHECK(refusal.has_value());
    CHECK(refusal->code == base::RefusalCode::Quarantined);
    CHECK(refusal->verdict == base::Verdict::MayHaveRun);
    CHECK(notices.back().isQuarantined);

    resend();
    refusal.reset();
    start();
    CHECK(refusal->verdict == base::Verdict::NotRun);
    CHECK(open.empty());
}

// Guards against hosts that try the same new request on different upstreams at the same time.
TEST(Crash, CanaryUpstreamIsTheSameOnEveryHost)
{
    start();
    auto chosen = open[0].upstream;
    for (uint64_t seed = 2; seed < 20; ++seed) {
        SearchFixture other;
        other.use(table.settings());
        other.random.seed(seed);
        other.start();
        LONGS_EQUAL(catalog::toIndex(chosen), catalog::toIndex(other.open[0].upstream));
    }
}

// Guards against every repeated request paying for a canary attempt.
TEST(Crash, KnownRequestIsSentToAllShardsAtOnce)
{
    start();
    end(0);
    LONGS_EQUAL(2, open.size());
    endAll();
    CHECK(isComplete(answer->coverage));
    resend();
    start();
    LONGS_EQUAL(3, open.size());
}

// Guards against an unanswered or quarantined request that was merely in flight on a crashed upstream.
TEST(Crash, BystanderIsRetriedAndAnswered)
{
    start();
    end(0);
    end(0, AttemptStatus::ConnectionLost);
    endAll();
    CHECK(answer.has_value());
    CHECK(isComplete(answer->coverage));
    CHECK_FALSE(routing.quarantine.isQuarantined(search.fingerprint, now));
    LONGS_EQUAL(0, routing.quarantine.crashes(search.fingerprint, now));
}

// Guards against a suspect that other hosts quarantined being sent when its turn comes.
TEST(Crash, NoticeOfAnotherHostStopsTheRetry)
{
    start();
    end(0, AttemptStatus::ConnectionLost);
    auto notice = notices[0];
    notice.lostUpstream = 12345;
    notice.isQuarantined = true;
    routing.quarantine.received(notice, now);
    advance(30ms);
    CHECK(open.empty());
    CHECK(refusal->code == base::RefusalCode::Quarantined);
}

// Guards against a second canary attempt in parallel for a suspect, and against a canary that waits for a straggler.
TEST(Crash, SlowCanaryIsHedgedOnce)
{
    addTraffic();
    start();
    advance(10ms);
    LONGS_EQUAL(2, open.size());
    CHECK(open[0].upstream != open[1].upstream);
    end(1);
    LONGS_EQUAL(2, open.size());
    endAll();
    CHECK(isComplete(answer->coverage));
}
