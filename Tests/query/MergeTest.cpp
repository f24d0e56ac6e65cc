#include "papayabend/query/Merge.h"

#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>

using namespace papayabend;

TEST_GROUP(Merge) {};

// Guards against an order of hits that depends on which shard answered first or on whether the sort is parallel.
TEST(Merge, OrderDoesNotDependOnTheOrderOfArrival)
{
    base::Random random(1);
    std::vector<routing::Hit> hits;
    for (int n = 0; n < 5000; ++n)
        hits.push_back({ "d" + std::to_string(n), static_cast<double>(n % 50) });
    auto shuffled = hits;
    std::ranges::shuffle(shuffled, random);
    query::keepBestHits(hits, 100);
    query::keepBestHits(shuffled, 100, 1000);
    LONGS_EQUAL(100, hits.size());
    for (size_t n = 0; n < hits.size(); ++n)
        CHECK(hits[n].document == shuffled[n].document);
}

// Guards against undefined behaviour of the sort when an upstream sends a score that is not a number.
TEST(Merge, ScoreThatIsNotANumberRanksLast)
{
    std::vector<routing::Hit> hits { { "a", std::nan("") }, { "b", 1 }, { "c", std::nan("") }, { "d", 2 } };
    query::keepBestHits(hits, 3);
    CHECK(hits[0].document == "d" && hits[1].document == "b" && hits[2].document == "a");
}
