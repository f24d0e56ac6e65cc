#include "SearchFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::query;
using papayabend::routing::AttemptStatus;
using namespace std::chrono_literals;

namespace {

struct PlainSearchFixture : SearchFixture {
    void checkComplete(uint64_t snapshot)
    {
        CHECK(answer.has_value());
        CHECK(isComplete(answer->coverage));
        LONGS_EQUAL(300, answer->coverage.unitsSearched);
        LONGS_EQUAL(snapshot, answer->snapshot);
        LONGS_EQUAL(3, answer->hits.size());
    }
};

}

TEST_GROUP_BASE(Search, PlainSearchFixture) {};

// Guards against pinning a snapshot that no replica of a shard can serve while an older snapshot is fully servable.
TEST(Search, NewestServableSnapshotIsPinned)
{
    table.state(catalog::UpstreamId { 2 }).isUnreachable.store(true);
    auto& missing = table.state(catalog::UpstreamId { 3 });
    missing.missingSnapshot.store(2);
    missing.missingSnapshotUntil.store((now + 1s).time_since_epoch().count());
    start();
    LONGS_EQUAL(1, snapshotOf(0));
    finishAll();
    checkComplete(1);
}

// Guards against hits from another snapshot or shard in the answer, and against counting them as coverage.
TEST(Search, AnswersOfAnotherSnapshotOrShardAreDiscarded)
{
    start();
    auto wrongSnapshot = resultOf(openAttempts[0], AttemptStatus::Ran);
    wrongSnapshot.snapshot = 1;
    reportResult(wrongSnapshot);
    auto wrongShard = resultOf(openAttempts[0], AttemptStatus::Ran);
    wrongShard.shard = "x0";
    reportResult(wrongShard);
    CHECK_FALSE(answer.has_value());
    finishAll();
    checkComplete(2);
}

// Guards against counting a shard twice, and against accepting a result of another request or upstream.
TEST(Search, EachShardCountsOnceAndOnlyForItsOpenAttempt)
{
    start();
    auto otherRequest = resultOf(openAttempts[0], AttemptStatus::Ran);
    otherRequest.request = 8;
    reportResult(otherRequest);
    auto otherUpstream = resultOf(openAttempts[0], AttemptStatus::Ran);
    otherUpstream.upstream = catalog::UpstreamId { 99 };
    auto shared = context();
    apply(attemptFinished(search, shared, otherUpstream, now));
    LONGS_EQUAL(0, search.answer.hits.size());
    auto first = resultOf(openAttempts[0], AttemptStatus::Ran);
    reportResult(first);
    reportResult(first);
    LONGS_EQUAL(1, search.answer.hits.size());
    finishAll();
    CHECK_FALSE(answer && answer->coverage.unitsSearched > 300);
}

// Guards against overstated coverage when an upstream reports more or fewer units than the shard has.
TEST(Search, CoverageIsCountedInUnitsOfThePinnedSnapshot)
{
    start();
    auto tooMany = resultOf(openAttempts[0], AttemptStatus::Ran);
    tooMany.unitsSearched = 1000;
    reportResult(tooMany);
    auto tooFew = resultOf(openAttempts[0], AttemptStatus::Ran);
    tooFew.unitsSearched = 60;
    reportResult(tooFew);
    finishAll();
    CHECK(answer.has_value());
    LONGS_EQUAL(260, answer->coverage.unitsSearched);
    LONGS_EQUAL(1, answer->coverage.missing.size());
    LONGS_EQUAL(40, answer->coverage.missing[0].units);
    STRCMP_EQUAL("partly_searched", answer->coverage.missing[0].reason.c_str());
}

// Guards against an answer with hits from two snapshots when a shard loses the pinned one during the search, and
// against endless restarts.
TEST(Search, RestartsOnceOnAnotherSnapshot)
{
    start();
    finish(0);
    auto shard = openAttempts[0].shard;
    finish(0, AttemptStatus::SnapshotUnavailable);
    auto it = std::ranges::find(openAttempts, shard, &routing::Attempt::shard);
    reportResult(resultOf(*it, AttemptStatus::SnapshotUnavailable));
    LONGS_EQUAL(3, openAttempts.size());
    CHECK(std::ranges::all_of(openAttempts, [](const routing::Attempt& attempt) { return attempt.snapshot == 1; }));
    CHECK_FALSE(answer.has_value());
    finishAll();
    checkComplete(1);
}

// Guards against a second restart, and against an answer that does not report the missing shard.
TEST(Search, SecondSnapshotLossGivesAPartialAnswerWithTheReason)
{
    search.wasRestarted = true;
    start();
    finish(0);
    auto shard = openAttempts[0].shard;
    finish(0, AttemptStatus::UnknownShard);
    reportResult(
        resultOf(*std::ranges::find(openAttempts, shard, &routing::Attempt::shard), AttemptStatus::UnknownShard));
    finishAll();
    CHECK(answer.has_value());
    LONGS_EQUAL(2, answer->snapshot);
    LONGS_EQUAL(200, answer->coverage.unitsSearched);
    LONGS_EQUAL(300, answer->coverage.unitsTotal);
    LONGS_EQUAL(1, answer->coverage.missing.size());
    CHECK(answer->coverage.missing[0].shard == shard);
    CHECK(answer->coverage.missing[0].reason == "unknown_shard");
}

// Guards against a restart that uses an outdated shard map after a repartition.
TEST(Search, RestartUsesTheNewestCatalogue)
{
    start();
    auto published = std::make_shared<catalog::Catalog>(*catalog);
    catalog::Snapshot repartitioned { 3, {} };
    for (uint32_t n = 0; n < 6; ++n)
        repartitioned.shards.push_back({ "y" + std::to_string(n), 50, { catalog::UpstreamId { n } } });
    published->services[0].snapshots = { repartitioned, published->services[0].snapshots[0] };
    catalog = published;
    auto shard = openAttempts[0].shard;
    finish(0, AttemptStatus::UnknownShard);
    reportResult(
        resultOf(*std::ranges::find(openAttempts, shard, &routing::Attempt::shard), AttemptStatus::UnknownShard));
    LONGS_EQUAL(6, openAttempts.size());
    while (!answer)
        reportResult([&] {
            auto result = resultOf(openAttempts[0], AttemptStatus::Ran);
            result.unitsSearched = 50;
            return result;
        }());
    LONGS_EQUAL(3, answer->snapshot);
    CHECK(isComplete(answer->coverage));
}

// Guards against a search that is never answered because some shards do not answer.
TEST(Search, DeadlineGivesAPartialAnswer)
{
    start();
    finish(0);
    advance(1s);
    CHECK(answer.has_value());
    LONGS_EQUAL(100, answer->coverage.unitsSearched);
    LONGS_EQUAL(2, answer->coverage.missing.size());
    CHECK(answer->coverage.missing[0].reason == "deadline_exceeded");
}

// Guards against an upstream that still works on an answer that would reach this host after the deadline.
TEST(Search, UpstreamDeadlineIsEarlierByTheReturnDelay)
{
    for (uint32_t n = 0; n < 6; ++n)
        table.state(catalog::UpstreamId { n }).returnDelayUs.store(5000);
    start();
    CHECK(openAttempts[0].deadline == search.request.deadline - 5ms);
}

// Guards against retrying shed attempts without limit while the replicas are overloaded.
TEST(Search, ShedAttemptIsRetriedOnAnotherReplicaWithinTheBudget)
{
    auto settings = table.settings();
    settings.retries.burst = 1;
    settings.retries.budget = 0;
    configure(settings);
    start();
    auto first = openAttempts[0];
    finish(0, AttemptStatus::Shed);
    LONGS_EQUAL(3, openAttempts.size());
    CHECK(openAttempts.back().shard == first.shard);
    CHECK(openAttempts.back().upstream != first.upstream);
    finish(0, AttemptStatus::Shed);
    LONGS_EQUAL(2, openAttempts.size());
    finishAll();
    CHECK(answer->coverage.missing[0].reason == "shed");
}

// Guards against more calls in flight than the upstream's limit, and against a waiting shard that is never sent.
TEST(Search, ShardWaitsForAFreeSlot)
{
    table.setServingHosts(100);
    routing::Attempt blocker;
    for (uint32_t n = 0; n < 2; ++n) {
        blocker.id = 1000 + n;
        blocker.upstream = catalog::UpstreamId { n };
        routing::attemptStarted(table, blocker, now);
    }
    start();
    LONGS_EQUAL(2, openAttempts.size());
    routing::AttemptResult done;
    done.attempt = 1000;
    done.status = AttemptStatus::Ran;
    routing::attemptFinished(table, done, now);
    auto shared = context();
    apply(slotFreed(search, shared, now));
    LONGS_EQUAL(3, openAttempts.size());
    finishAll();
    checkComplete(2);
}
