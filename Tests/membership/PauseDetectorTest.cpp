#include "papayabend/membership/PauseDetector.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(PauseDetector)
{
    membership::PauseDetector detector;
    base::TimePoint start { 1000s };
};

// Guards against ordinary delays of the loop being reported as pauses, and against pauses that go undetected.
TEST(PauseDetector, OnlyGapsAboveOneSecondArePauses)
{
    CHECK_FALSE(detector.pass(start));
    CHECK_FALSE(detector.pass(start + 1s));
    CHECK_FALSE(detector.isStale());
    CHECK(detector.pass(start + 2001ms));
    CHECK(detector.isStale());
    LONGS_EQUAL(1, detector.pauses());
    detector.refreshed();
    CHECK_FALSE(detector.isStale());
}

// Guards against an undetected pause: a thread that read the clock earlier must not move the last time backwards.
TEST(PauseDetector, AnEarlierTimeDoesNotHideTheGap)
{
    detector.pass(start);
    detector.pass(start - 5s);
    CHECK(detector.pass(start + 3s));
    CHECK_FALSE(detector.pass(start + 2s));
    CHECK(detector.isStale());
}
