#include "papayabend/routes/SplitChoice.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace papayabend;

TEST_GROUP(SplitChoice)
{
    routes::SplitChoice choice;

    static routes::Route route(std::vector<routes::Destination> destinations)
    {
        routes::Route route;
        route.name = "r";
        route.destinations = std::move(destinations);
        return route;
    }

    std::map<std::string, int> counts(const routes::Route& route, int requests)
    {
        std::map<std::string, int> counts;
        for (int n = 0; n < requests; ++n)
            ++counts[choice.next(route)];
        return counts;
    }
};

// Guards against shares that differ from the weights over a small number of requests.
TEST(SplitChoice, SharesFollowTheWeights)
{
    auto result = counts(route({ { "old", 7 }, { "new", 3 } }), 20);
    LONGS_EQUAL(14, result["old"]);
    LONGS_EQUAL(6, result["new"]);
}

// Guards against the credits of earlier destinations affecting the shares of new ones.
TEST(SplitChoice, NewDestinationsStartWithoutCredit)
{
    counts(route({ { "old", 99 }, { "new", 1 } }), 50);
    auto result = counts(route({ { "new", 1 }, { "other", 1 } }), 10);
    LONGS_EQUAL(5, result["new"]);
    LONGS_EQUAL(5, result["other"]);
}

// Guards against requests to a destination whose weight the operator has set to zero.
TEST(SplitChoice, DestinationWithWeightZeroReceivesNoRequests)
{
    auto result = counts(route({ { "old", 0 }, { "new", 5 } }), 30);
    LONGS_EQUAL(0, result["old"]);
}
