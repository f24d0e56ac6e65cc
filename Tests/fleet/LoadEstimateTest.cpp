#include "papayabend/fleet/LoadEstimate.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(LoadEstimate)
{
    base::TimePoint now { 100s };
    LoadEstimate load { 0, 0, now };
};

// Guards against roles that change whenever the load pauses briefly.
TEST(LoadEstimate, RisesAtOnceAndFallsSlowly)
{
    observe(load, 500, now + 1s);
    DOUBLES_EQUAL(500, load.perSecond, 1);
    observe(load, 500, now + 1s + loadHalfLife);
    DOUBLES_EQUAL(250, load.perSecond, 1);
    observe(load, 2500, now + 2s + loadHalfLife);
    DOUBLES_EQUAL(2000, load.perSecond, 1);
}

// Guards against a rate that is computed over an interval that is too short or empty.
TEST(LoadEstimate, ShortIntervalsAreCombined)
{
    for (int n = 1; n <= 8; ++n)
        observe(load, static_cast<uint64_t>(n) * 100, now + n * 250ms);
    DOUBLES_EQUAL(400, load.perSecond, 1);
}
