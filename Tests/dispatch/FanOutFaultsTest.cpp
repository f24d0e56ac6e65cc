#include "dispatch/FanOutGates.h"

#include <CppUTest/TestHarness.h>

using namespace fanOutModel;

TEST_GROUP(FanOutFaults) {};

// Guards against an overload that slow upstreams, lost hosts or clients that repeat at once make worse than with a gate
// of each host, and against refusals for these reasons at usual load.
TEST(FanOutFaults, SlowUpstreamsLostHostsAndRepeats)
{
    for (const auto& size : sizes) {
        Totals sum;
        for (auto load : { 1.0, 2.5 }) {
            for (const auto& [what, settings] :
                { std::pair<const char*, Case> { "slow third", { .hasSlowThird = true } },
                    { "quarter lost", { .losesQuarter = true } }, { "repeats", { .repeatsAtOnce = true } } }) {
                auto loaded = settings;
                loaded.load = load;
                auto it = compare(size, what, loaded);
                // A shard with three slow upstreams has less than the usual load as its capacity.
                CHECK_TRUE(load > 1 || settings.hasSlowThird || it.fleet.refused == 0);
                CHECK_TRUE(load > 1 || it.fleet.inTime >= it.today.inTime);
                sum.today.inTime += it.today.inTime;
                sum.today.late += it.today.late;
                sum.fleet.inTime += it.fleet.inTime;
                sum.fleet.late += it.fleet.late;
            }
        }
        CHECK_TRUE(100 * sum.fleet.inTime >= 99 * sum.today.inTime);
        CHECK_TRUE(10 * sum.fleet.late <= 9 * sum.today.late);
    }
}
