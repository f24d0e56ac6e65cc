#include "fleet/StoreFleet.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <string>
#include <tuple>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

using Duration = StoreFleet::Duration;

/** Returns the calls to the store in \a time without disturbance, with changes at random times \a meanInterval apart.
 */
size_t calmCalls(StoreFleet::Settings settings, Duration time, Duration meanInterval, Duration* highestAge = nullptr,
    size_t* standIns = nullptr)
{
    base::Random random(settings.seed);
    StoreFleet fleet(settings);
    fleet.runFor(10s);
    fleet.resetFigures();
    auto end = fleet.now() + time;
    while (fleet.now() < end) {
        auto interval = -std::log(1 - base::uniform(random)) * static_cast<double>(meanInterval.count());
        auto next = meanInterval == Duration(0) ? time : Duration(static_cast<int64_t>(interval));
        fleet.runFor(std::min(next, end - fleet.now()));
        if (fleet.now() < end)
            fleet.change();
    }
    if (highestAge)
        *highestAge = std::max(*highestAge, fleet.highestAge());
    if (standIns)
        *standIns += fleet.standIns();
    return fleet.calls();
}

}

TEST_GROUP(StoreCalls) {};

// Guards against more calls than the store takes when no host hears another one, so that each reads for itself, during
// many changes, and during an outage of the store and after it.
TEST(StoreCalls, WorstCaseKeepsTheRateOfTheStore)
{
    for (auto [hosts, domains, maxCalls] :
        { std::tuple<size_t, size_t, size_t> { 6, 3, 2000 }, { 62, 3, 2000 }, { 195, 3, 2000 }, { 1600, 13, 6000 } }) {
        StoreFleet fleet({ .hosts = hosts, .domains = domains });
        fleet.runFor(4s);
        fleet.loseAllDatagrams();
        for (size_t n = 0; n < 40; ++n) {
            fleet.runFor(100ms);
            fleet.change();
        }
        fleet.setStoreDown(true);
        fleet.runFor(4s);
        fleet.setStoreDown(false);
        fleet.runFor(3s);
        auto text = std::to_string(hosts)
            + " hosts, each on its own, ten changes a second, outage of the store: at most "
            + std::to_string(fleet.maxCallsPerSecond()) + " calls in a second";
        UT_PRINT(text.c_str());
        CHECK_TRUE(fleet.maxCallsPerSecond() <= maxCalls);
    }
}

// Guards against calls that are paid for and bring nothing: on a day without disturbance there are no more of them than
// with the chosen readers alone, however often the content changes.
TEST(StoreCalls, CalmDayMakesNoMoreCalls)
{
    struct Size {
        size_t hosts;
        size_t domains;
        size_t seeds;
        Duration time;
    };
    for (auto size :
        { Size { 6, 3, 4, 300s }, Size { 62, 3, 2, 120s }, Size { 195, 3, 1, 60s }, Size { 1600, 13, 1, 10s } }) {
        for (auto interval : { Duration(0), Duration(8s), Duration(1500ms) }) {
            if (size.hosts > 1000 && interval != Duration(0))
                continue;
            size_t calls = 0;
            size_t before = 0;
            size_t standIns = 0;
            Duration highestAge { 0 };
            for (uint64_t seed = 1; seed <= size.seeds; ++seed) {
                StoreFleet::Settings settings { .hosts = size.hosts, .domains = size.domains, .seed = seed };
                calls += calmCalls(settings, size.time, interval, &highestAge, &standIns);
                settings.usesFreshness = false;
                before += calmCalls(settings, size.time, interval);
            }
            auto text = std::to_string(size.hosts) + " hosts, changes each "
                + std::to_string(base::toMilliseconds(interval)) + " ms: " + std::to_string(calls) + " calls, "
                + std::to_string(before) + " with chosen readers alone, highest age "
                + std::to_string(base::toMilliseconds(highestAge)) + " ms, " + std::to_string(standIns) + " stand-ins";
            UT_PRINT(text.c_str());
            CHECK_TRUE(calls <= before);
        }
    }
}
