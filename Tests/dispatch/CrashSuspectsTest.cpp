#include "papayabend/dispatch/CrashSuspects.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspects)
{
    CrashSuspects suspects;
    CrashSuspects other;
    base::Random random { 1 };
    base::TimePoint now { 100s };

    void exchange()
    {
        auto notices = suspects.notices(random, now, true);
        suspects.merge(other.notices(random, now, true), now);
        other.merge(notices, now);
    }
};

// Guards against a request that crashes one upstream after the other.
TEST(CrashSuspects, RequestIsRefusedAfterThreeLosses)
{
    suspects.addLoss(7, 1, "desk", now);
    suspects.addLoss(7, 2, "desk", now);
    CHECK_FALSE(suspects.isRefused(7, now));
    suspects.addLoss(7, 3, "desk", now);
    CHECK_TRUE(suspects.isRefused(7, now + 100s));
    CHECK_FALSE(suspects.isRefused(8, now));
    CHECK_FALSE(suspects.isRefused(7, now + 121s));
}

// Guards against three more losses after each refusal.
TEST(CrashSuspects, OneLossAfterARefusalRefusesTheRequestAgain)
{
    for (uint64_t upstream : { 1, 2, 3 })
        suspects.addLoss(7, upstream, "desk", now);
    now += 130s;
    CHECK_FALSE(suspects.isRefused(7, now));
    suspects.addLoss(7, 4, "desk", now);
    CHECK_TRUE(suspects.isRefused(7, now + 100s));
    CHECK_FALSE(suspects.isRefused(7, now + 11min));
}

// Guards against a request that may crash three upstreams on each host because hosts count separately.
TEST(CrashSuspects, LossesOfAllHostsAreAddedUp)
{
    suspects.addLoss(7, 1, "desk", now);
    suspects.addLoss(7, 2, "desk", now);
    other.addLoss(7, 3, "desk", now);
    exchange();
    CHECK_TRUE(suspects.isRefused(7, now));
    CHECK_TRUE(other.isRefused(7, now));
}

// Guards against a refusal because of one upstream that several hosts, or several equal requests, were using.
TEST(CrashSuspects, EachUpstreamCountsOnce)
{
    for (auto* it : { &suspects, &other }) {
        it->addLoss(7, 1, "desk", now);
        it->addLoss(7, 1, "desk", now);
    }
    exchange();
    LONGS_EQUAL(1, suspects.losses(7, now));
}

// Guards against refusing a harmless request whose connections were reset three times over a long period.
TEST(CrashSuspects, AnswerRemovesTheLosses)
{
    suspects.addLoss(7, 1, "desk", now);
    suspects.addLoss(7, 2, "desk", now);
    CHECK_TRUE(suspects.addAnswer(7, "desk", now));
    CHECK_FALSE(suspects.addAnswer(7, "desk", now));
    suspects.addLoss(7, 3, "desk", now);
    LONGS_EQUAL(1, suspects.losses(7, now));
}

// Guards against refusing a popular request that upstreams answer, as soon as a few of its answers were lost in a row.
TEST(CrashSuspects, RequestThatWasAnsweredNeedsOneMoreLoss)
{
    suspects.addLoss(7, 1, "desk", now);
    suspects.addAnswer(7, "desk", now);
    for (uint64_t upstream : { 2, 3, 4 })
        suspects.addLoss(7, upstream, "desk", now);
    CHECK_FALSE(suspects.isRefused(7, now));
    suspects.addLoss(7, 5, "desk", now);
    CHECK_TRUE(suspects.isRefused(7, now));
}

// Guards against losses that an answer has removed and that the notice of another host brings back.
TEST(CrashSuspects, RemovedLossIsRemovedOnAllHosts)
{
    suspects.addLoss(7, 1, "desk", now);
    exchange();
    suspects.addAnswer(7, "desk", now);
    exchange();
    exchange();
    LONGS_EQUAL(0, suspects.losses(7, now));
    LONGS_EQUAL(0, other.losses(7, now));
}

// Guards against counting a loss that another host reports later than that it was removed.
TEST(CrashSuspects, RemovedLossIsKnownBeforeTheLossItself)
{
    now += CrashSuspects::refusedLifetime;
    other.addLoss(7, 1, "desk", now);
    auto early = other.notices(random, now);
    other.addAnswer(7, "desk", now);
    suspects.merge(other.notices(random, now), now);
    suspects.merge(early, now);
    LONGS_EQUAL(0, suspects.losses(7, now));
}

// Guards against refusing a request because connections were reset by upstreams that went on running.
TEST(CrashSuspects, UpstreamThatStillRunsDoesNotCount)
{
    for (uint64_t upstream : { 1, 2, 3 })
        suspects.addLoss(7, upstream, "desk", now);
    exchange();
    suspects.voidLoss(7, 2, now);
    CHECK_FALSE(suspects.isRefused(7, now));
    exchange();
    CHECK_FALSE(other.isRefused(7, now));
}

// Guards against refusing a fan-out when a failure domain was lost with one upstream of many shards, and against a
// request that only the upstreams of one shard do not survive.
TEST(CrashSuspects, AnswerOfOneShardLeavesOnlyLossesOfTheSameShard)
{
    for (uint64_t shard : { 1, 2, 3, 4 })
        suspects.addLoss(7, shard, "shard" + std::to_string(shard), now);
    CHECK_TRUE(suspects.isRefused(7, now));
    suspects.addAnswer(7, "shard9", now);
    LONGS_EQUAL(1, suspects.losses(7, now));
    suspects.addLoss(7, 21, "shard1", now);
    suspects.addLoss(7, 22, "shard1", now);
    suspects.addAnswer(7, "shard9", now);
    CHECK_TRUE(suspects.isRefused(7, now));
}

// Guards against messages that grow with the number of requests, and against requests that ended several upstreams
// whose notices are displaced by those of many requests that were in flight at one end.
TEST(CrashSuspects, NoticesOfRequestsWithMostLossesAreSentFirst)
{
    suspects.addLoss(7, 1, "desk", now);
    suspects.addLoss(7, 2, "desk", now);
    for (uint64_t n = 100; n < 1100; ++n)
        suspects.addLoss(n, 3, "desk", now + 1ms);
    auto notices = suspects.notices(random, now + 2ms);
    LONGS_EQUAL(CrashSuspects::maxNoticedRequests + 1, notices.size());
    LONGS_EQUAL(7, notices.front().fingerprint);
}

// Guards against a host that starts, or was cut off, long after a request has been refused and never learns of it.
TEST(CrashSuspects, RefusedRequestsAreToldForAsLongAsTheyAreRefused)
{
    for (uint64_t upstream : { 1, 2, 3 })
        suspects.addLoss(7, upstream, "desk", now);
    suspects.addLoss(8, 1, "desk", now);
    now += 60s;
    exchange();
    CHECK_TRUE(other.isRefused(7, now));
    LONGS_EQUAL(0, other.losses(8, now));
    CHECK_FALSE(other.isRefused(7, now + 61s));
}

// Guards against messages that are longer for as long as any request is refused, and against a host that was cut off
// and never learns of it.
TEST(CrashSuspects, OldRefusalsAreInSomeMessagesOnly)
{
    for (uint64_t upstream : { 1, 2, 3 })
        suspects.addLoss(7, upstream, "desk", now);
    now += CrashSuspects::freshTime + 1ms;
    size_t messages = 0;
    for (int n = 0; n < 1000; ++n)
        messages += suspects.notices(random, now).empty() ? 0 : 1;
    CHECK_TRUE(messages > 80 && messages < 170);
}

// Guards against hosts that replace each other's losses of one request without end when there are more than they keep.
TEST(CrashSuspects, HostsAgreeOnTheLossesThatTheyKeep)
{
    for (uint64_t n = 0; n < 20; ++n) {
        suspects.addLoss(7, 1000 - n, "shard" + std::to_string(n), now);
        other.addLoss(7, 2000 - n, "shard" + std::to_string(n), now);
    }
    exchange();
    exchange();
    now += CrashSuspects::freshTime + 1ms;
    exchange();
    // A host that still learned of changes would tell of them in each message.
    for (const auto* it : { &suspects, &other }) {
        int messages = 0;
        for (int n = 0; n < 100; ++n)
            messages += it->notices(random, now).empty() ? 0 : 1;
        CHECK_TRUE(messages < 50);
    }
    CHECK_FALSE(suspects.isRefused(7, now + 121s));
}

// Guards against many harmless losses that displace a refused request from a full table, and against memory without
// bound.
TEST(CrashSuspects, FullTableKeepsRefusedRequests)
{
    for (uint64_t upstream : { 1, 2, 3 })
        suspects.addLoss(7, upstream, "desk", now);
    for (uint64_t n = 100; n < 100 + CrashSuspects::maxSuspects; ++n)
        suspects.addLoss(n, 4, "desk", now + std::chrono::microseconds(n));
    CHECK_TRUE(suspects.isRefused(7, now));
    LONGS_EQUAL(0, suspects.losses(100, now));
    LONGS_EQUAL(1, suspects.losses(101, now));
}

// Guards against arithmetic beyond the range of time with notices of odd age.
TEST(CrashSuspects, NoticesOfOddAgeDoNotCount)
{
    suspects.merge(std::vector<CrashNotice> { { 7, 1, 1, LossState::Counted, base::Duration::max() },
                       { 7, 2, 1, LossState::Counted, base::Duration::min() } },
        now);
    LONGS_EQUAL(1, suspects.losses(7, now));
}

// Guards against equal fingerprints of requests that differ only in the body, or in where the target ends.
TEST(CrashSuspects, FingerprintCoversTheWholeRequest)
{
    auto fingerprint = CrashSuspects::fingerprintOf("POST", "h", "/a/", "x");
    CHECK_TRUE(fingerprint != CrashSuspects::fingerprintOf("POST", "h", "/a/", "y"));
    CHECK_TRUE(fingerprint != CrashSuspects::fingerprintOf("POST", "h", "/a", "/x"));
    CHECK_TRUE(fingerprint == CrashSuspects::fingerprintOf("POST", "h", "/a/", "x"));
}
