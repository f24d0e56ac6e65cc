#include "dispatch/FanOutGates.h"

#include <CppUTest/TestHarness.h>

using namespace fanOutModel;

TEST_GROUP(FanOutOverload) {};

// Guards against refusing requests at usual load that would have been in time.
TEST(FanOutOverload, NothingIsRefusedAtUsualLoad)
{
    for (const auto& size : sizes) {
        for (auto load : { 1.0, 1.5 }) {
            auto it = compare(size, "load", { .load = load });
            LONGS_EQUAL(0, it.fleet.refused);
            LONGS_EQUAL(it.today.inTime, it.fleet.inTime);
        }
    }
}

// Guards against requests that are admitted and then late, and against a bound that is too low, from the capacity of
// the shards on to twice of it.
TEST(FanOutOverload, AdmittedRequestsAreInTime)
{
    for (const auto& size : sizes) {
        Totals sum;
        for (auto load : { 2.0, 2.5, 4.0 }) {
            auto it = compare(size, "load", { .load = load });
            sum.today.inTime += it.today.inTime;
            sum.today.late += it.today.late;
            sum.fleet.inTime += it.fleet.inTime;
            sum.fleet.late += it.fleet.late;
        }
        CHECK_TRUE(100 * sum.fleet.inTime >= 99 * sum.today.inTime);
        CHECK_TRUE(10 * sum.fleet.late <= 9 * sum.today.late);
    }
}
