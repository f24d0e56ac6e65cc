#include "SearchFixture.h"

#include "papayabend/query/SearchLimiter.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::query;
using namespace std::chrono_literals;

TEST_GROUP_BASE(SearchLimiter, SearchFixture) {};

// Guards against more running searches than the scarcest shard can serve, and against a limit of zero.
TEST(SearchLimiter, LimitFollowsTheScarcestShard)
{
    table.setServingHosts(8);
    auto all = searchLimit(table, *catalog, catalog->services[0]);
    table.state(catalog::UpstreamId { 0 }).isUnreachable.store(true);
    CHECK(searchLimit(table, *catalog, catalog->services[0]) < all);
    table.state(catalog::UpstreamId { 1 }).isUnreachable.store(true);
    LONGS_EQUAL(all, searchLimit(table, *catalog, catalog->services[0]));
    use(routing::plainBaseline());
    CHECK(searchLimit(table, *catalog, catalog->services[0]) > 1'000'000);
}

// Guards against a limiter that lets no search in after one has ended, and against running all searches too late.
TEST(SearchLimiter, WaitingSearchesRunInOrderUntilTooManyWait)
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

// Guards against a refusal that is said not to have run although it did, and against refusing every search because
// of one wrong estimate.
TEST(SearchLimiter, SearchThatCannotEndInTimeIsRefusedAsNotRun)
{
    for (int n = 0; n < 100; ++n)
        routing.searchTimes.record("s", 100ms);
    auto latest = latestStart(search.request, routing);
    CHECK(latest > now + 850ms && latest <= now + 900ms);
    for (int n = 0; n < 10000; ++n)
        routing.searchTimes.record("s", 60s);
    CHECK(latestStart(search.request, routing) == now + 500ms);
    search.catalog = catalog;
    auto shared = context();
    take(refuseWaiting(search, shared, now));
    CHECK(refusal->verdict == base::Verdict::NotRun);
    CHECK(refusal->code == base::RefusalCode::Overloaded);
}
