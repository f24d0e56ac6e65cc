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

// Guards against pinning a snapshot that one shard cannot serve while an older one is complete.
TEST(Search, NewestServableSnapshotIsPinned)
{
    table.state(catalog::UpstreamId { 2 }).isUnreachable.store(true);
    auto& missing = table.state(catalog::UpstreamId { 3 });
    missing.missingSnapshot.store(2);
    missing.missingSnapshotUntil.store((now + 1s).time_since_epoch().count());
    start();
    LONGS_EQUAL(1, snapshotOf(0));
    endAll();
    checkComplete(1);
}

// Guards against hits of another snapshot or shard in the answer, and against counting them as coverage.
TEST(Search, AnswersOfAnotherSnapshotOrShardAreDiscarded)
{
    start();
    auto wrongSnapshot = resultOf(open[0], AttemptStatus::Ran);
    wrongSnapshot.snapshot = 1;
    report(wrongSnapshot);
    auto wrongShard = resultOf(open[0], AttemptStatus::Ran);
    wrongShard.shard = "x0";
    report(wrongShard);
    CHECK_FALSE(answer.has_value());
    endAll();
    checkComplete(2);
}

// Guards against one shard counted twice, and against an answer under the number of another request or upstream.
TEST(Search, EachShardCountsOnceAndOnlyForItsOpenAttempt)
{
    start();
    auto foreign = resultOf(open[0], AttemptStatus::Ran);
    foreign.request = 8;
    report(foreign);
    auto moved = resultOf(open[0], AttemptStatus::Ran);
    moved.upstream = catalog::UpstreamId { 99 };
    auto shared = context();
    take(attemptFinished(search, shared, moved, now));
    LONGS_EQUAL(0, search.answer.hits.size());
    auto first = resultOf(open[0], AttemptStatus::Ran);
    report(first);
    report(first);
    LONGS_EQUAL(1, search.answer.hits.size());
    endAll();
    CHECK_FALSE(answer && answer->coverage.unitsSearched > 300);
}

// Guards against coverage above what was searched when an upstream reports more or fewer units than the shard has.
TEST(Search, CoverageIsCountedInUnitsOfThePinnedSnapshot)
{
    start();
    auto tooMany = resultOf(open[0], AttemptStatus::Ran);
    tooMany.unitsSearched = 1000;
    report(tooMany);
    auto tooFew = resultOf(open[0], AttemptStatus::Ran);
    tooFew.unitsSearched = 60;
    report(tooFew);
    endAll();
    CHECK(answer.has_value());
    LONGS_EQUAL(260, answer->coverage.unitsSearched);
    LONGS_EQUAL(1, answer->coverage.missing.size());
    LONGS_EQUAL(40, answer->coverage.missing[0].units);
    STRCMP_EQUAL("partly_searched", answer->coverage.missing[0].reason.c_str());
}

// Guards against a mixed answer when a shard loses the pinned snapshot in mid-query, and against endless restarts.
TEST(Search, RestartsOnceOnAnotherSnapshot)
{
    start();
    end(0);
    auto shard = open[0].shard;
    end(0, AttemptStatus::SnapshotUnavailable);
    auto it = std::ranges::find(open, shard, &routing::Attempt::shard);
    report(resultOf(*it, AttemptStatus::SnapshotUnavailable));
    LONGS_EQUAL(3, open.size());
    CHECK(std::ranges::all_of(open, [](const routing::Attempt& attempt) { return attempt.snapshot == 1; }));
    CHECK_FALSE(answer.has_value());
    endAll();
    checkComplete(1);
}

// Guards against a second restart and against an answer that hides what is missing.
TEST(Search, SecondLossGivesAPartialAnswerWithTheReason)
{
    search.wasRestarted = true;
    start();
    end(0);
    auto shard = open[0].shard;
    end(0, AttemptStatus::UnknownShard);
    report(resultOf(*std::ranges::find(open, shard, &routing::Attempt::shard), AttemptStatus::UnknownShard));
    endAll();
    CHECK(answer.has_value());
    LONGS_EQUAL(2, answer->snapshot);
    LONGS_EQUAL(200, answer->coverage.unitsSearched);
    LONGS_EQUAL(300, answer->coverage.unitsTotal);
    LONGS_EQUAL(1, answer->coverage.missing.size());
    CHECK(answer->coverage.missing[0].shard == shard);
    CHECK(answer->coverage.missing[0].reason == "unknown_shard");
}

// Guards against a restart that uses the shard map from before a repartition.
TEST(Search, RestartUsesTheNewestCatalogue)
{
    start();
    auto published = std::make_shared<catalog::Catalog>(*catalog);
    catalog::Snapshot repartitioned { 3, {} };
    for (uint32_t n = 0; n < 6; ++n)
        repartitioned.shards.push_back({ "y" + std::to_string(n), 50, { catalog::UpstreamId { n } } });
    published->services[0].snapshots = { repartitioned, published->services[0].snapshots[0] };
    catalog = published;
    auto shard = open[0].shard;
    end(0, AttemptStatus::UnknownShard);
    report(resultOf(*std::ranges::find(open, shard, &routing::Attempt::shard), AttemptStatus::UnknownShard));
    LONGS_EQUAL(6, open.size());
    while (!answer)
        report([&] {
            auto result = resultOf(open[0], AttemptStatus::Ran);
            result.unitsSearched = 50;
            return result;
        }());
    LONGS_EQUAL(3, answer->snapshot);
    CHECK(isComplete(answer->coverage));
}

// Guards against a search that is lost when shards never answer.
TEST(Search, DeadlineGivesAPartialAnswer)
{
    start();
    end(0);
    advance(1s);
    CHECK(answer.has_value());
    LONGS_EQUAL(100, answer->coverage.unitsSearched);
    LONGS_EQUAL(2, answer->coverage.missing.size());
    CHECK(answer->coverage.missing[0].reason == "deadline_exceeded");
}

// Guards against an upstream that works on for a caller that no longer gets the answer in time.
TEST(Search, UpstreamGetsTheDeadlineLessTheWayBack)
{
    for (uint32_t n = 0; n < 6; ++n)
        table.state(catalog::UpstreamId { n }).returnDelayUs.store(5000);
    start();
    CHECK(open[0].deadline == search.request.deadline - 5ms);
}

// Guards against shed work that is sent again and again while the replicas are overloaded.
TEST(Search, ShedWorkIsRetriedElsewhereWithinTheBudget)
{
    auto settings = table.settings();
    settings.retries.burst = 1;
    settings.retries.budget = 0;
    use(settings);
    start();
    auto first = open[0];
    end(0, AttemptStatus::Shed);
    LONGS_EQUAL(3, open.size());
    CHECK(open.back().shard == first.shard);
    CHECK(open.back().upstream != first.upstream);
    end(0, AttemptStatus::Shed);
    LONGS_EQUAL(2, open.size());
    endAll();
    CHECK(answer->coverage.missing[0].reason == "shed");
}

// Guards against more calls in flight than the upstream's limit, and against a waiting shard that is forgotten.
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
    LONGS_EQUAL(2, open.size());
    routing::AttemptResult done;
    done.attempt = 1000;
    done.status = AttemptStatus::Ran;
    routing::attemptFinished(table, done, now);
    auto shared = context();
    take(slotFreed(search, shared, now));
    LONGS_EQUAL(3, open.size());
    endAll();
    checkComplete(2);
}
