#include "papayabend/admission/Shares.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend::admission;

TEST_GROUP(Shares) {};

// Guards against a heavy account that gets what a light account left, beyond its weight's part.
TEST(Shares, UnusedShareIsDividedByWeight)
{
    const std::vector<AccountDemand> demands { { 1, 10 }, { 1, 1000 }, { 2, 1000 } };
    auto allocation = allocate(100, demands);
    DOUBLES_EQUAL(10, allocation.granted[0], 1e-9);
    DOUBLES_EQUAL(30, allocation.granted[1], 1e-9);
    DOUBLES_EQUAL(60, allocation.granted[2], 1e-9);
    DOUBLES_EQUAL(0, allocation.spare, 1e-9);
}

// Guards against grants above the demand, which would hide spare capacity.
TEST(Shares, SpareCapacityIsReported)
{
    const std::vector<AccountDemand> demands { { 1, 10 }, { 5, 20 } };
    auto allocation = allocate(100, demands);
    DOUBLES_EQUAL(10, allocation.granted[0], 1e-9);
    DOUBLES_EQUAL(70, allocation.spare, 1e-9);
}

// Guards against a dead host's demand that keeps its part of a grant for ever.
TEST(Shares, OldReportsAreForgotten)
{
    using papayabend::base::TimePoint;
    FleetDemand fleet;
    fleet.update("a", { { "sul", "painel", 10, 10, 5, 2000 } }, TimePoint {});
    DOUBLES_EQUAL(15, fleet.demand("sul"), 1e-9);
    LONGS_EQUAL(2000, fleet.serviceTime()->count());
    fleet.removeOlder(TimePoint { std::chrono::seconds(1) });
    DOUBLES_EQUAL(0, fleet.demand("sul"), 1e-9);
}
