#include "SearchFixture.h"

#include "papayabend/query/SearchLimiter.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::query;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SearchLimiter, SearchFixture) {};

// Guards against more running searches than the shard with the lowest in-flight limit can serve, and against a limit of
// zero when a shard has no replica.
TEST(SearchLimiter, LimitFollowsTheShardWithTheLowestLimit)
{
    table.setServingHosts(8);
    auto all = searchLimit(table, *catalog, catalog->services[0]);
    table.state(catalog::UpstreamId { 0 }).isUnreachable.store(true);
    CHECK(searchLimit(table, *catalog, catalog->services[0]) < all);
    table.state(catalog::UpstreamId { 1 }).isUnreachable.store(true);
    LONGS_EQUAL(all, searchLimit(table, *catalog, catalog->services[0]));
    configure(routing::plainBaseline());
    CHECK(searchLimit(table, *catalog, catalog->services[0]) > 1'000'000);
}

// Guards against waiting searches that never start, and against a queue so long that every search starts too late to be
// answered in time.
TEST(SearchLimiter, WaitingSearchesStartInOrderUntilTooManyWait)
{
    SearchLimiter limiter;
    CHECK(limiter.tryAcquireOrQueue("s", 1, 1));
    CHECK_FALSE(limiter.tryAcquireOrQueue("s", 2, 1));
    CHECK_FALSE(limiter.next("s", 1).has_value());
    limiter.release("s");
    CHECK(limiter.next("s", 1) == 2U);
    for (routing::RequestId id = 3; id < 6; ++id)
        CHECK_FALSE(limiter.tryAcquireOrQueue("s", id, 1));
    limiter.release("s");
    CHECK(limiter.next("s", 1) == 5U);
}

// Guards against a wrong verdict in the refusal of a search that was never started, and against an estimate so high
// that every search is refused.
TEST(SearchLimiter, SearchThatCannotEndInTimeIsRefusedAsNotRun)
{
    for (int n = 0; n < 100; ++n)
        routing.searchDurations.record("s", 100ms);
    auto latest = latestStart(search.request, routing);
    CHECK(latest > now + 850ms && latest <= now + 900ms);
    for (int n = 0; n < 10000; ++n)
        routing.searchDurations.record("s", 60s);
    CHECK(latestStart(search.request, routing) == now + 500ms);
    search.catalog = catalog;
    auto shared = context();
    apply(refuseWaiting(search, shared, now));
    CHECK(refusal->verdict == base::Verdict::NotRun);
    CHECK(refusal->code == base::RefusalCode::Overloaded);
}
