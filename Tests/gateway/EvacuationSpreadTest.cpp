#include "gateway/SpreadFleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace papayabend;
using namespace std::chrono_literals;

namespace {

constexpr auto allowed = 5s;

void print(const char* what, size_t hosts, base::Duration time)
{
    printf("%s, %d hosts: %d ms\n", what, static_cast<int>(hosts), static_cast<int>(base::toMilliseconds(time)));
}

}

TEST_GROUP(EvacuationSpread) {};

// Guards against hosts that go on sending to an evacuated failure domain because they learn of it too late, or never
// learn of its end.
TEST(EvacuationSpread, ReachesAllHostsInTime)
{
    std::vector<SpreadSize> all(spreadSizes.begin(), spreadSizes.end());
    all.push_back(largestSpread);
    for (auto [hosts, domains] : all) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        auto begun = fleet.timeUntil("d1", true);
        print("begin", hosts, begun);
        CHECK_TRUE(begun < allowed);
        fleet.change("evacuate/d2", "{}");
        fleet.change("evacuate/d1", "", true);
        auto ended = fleet.timeUntil("d1", false);
        print("end", hosts, ended);
        CHECK_TRUE(ended < allowed);
        CHECK_TRUE(fleet.timeUntil("d2", true) < allowed);
    }
}

// Guards against an evacuation that depends on the host that reads the store: it freezes just before it.
TEST(EvacuationSpread, ReachesHostsInTimeAlthoughOneReaderFreezes)
{
    for (auto [hosts, domains] : spreadSizes) {
        SpreadFleet fleet(hosts, domains);
        auto reader = std::ranges::find_if(fleet.hosts, [](const auto& it) { return it->isReader; });
        CHECK_TRUE(reader != fleet.hosts.end());
        (*reader)->isFrozen = true;
        fleet.change("evacuate/d1", "{}");
        auto begun = fleet.timeUntil("d1", true);
        print("one reader frozen", hosts, begun);
        CHECK_TRUE(begun < allowed);
        (*reader)->isFrozen = false;
        CHECK_TRUE(fleet.timeUntil("d1", true) < allowed);
    }
}

// Guards against a host that was cut off from everything and goes on without what has changed meanwhile, and against
// one that forgets its last state there.
TEST(EvacuationSpread, HostsThatWereCutOffKeepTheirStateAndCatchUp)
{
    for (auto [hosts, domains] : spreadSizes) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        fleet.timeUntil("d1", true);
        for (size_t n = 0; n < hosts; n += 3)
            fleet.hosts[n]->isCutOff = true;
        fleet.change("evacuate/d1", "", true);
        fleet.change("evacuate/d2", "{}");
        CHECK_TRUE(fleet.timeUntil("d2", true) < 2 * allowed); // a third of the readers is cut off too
        fleet.run(1s, [] { return false; });
        CHECK_TRUE(fleet.hosts[0]->content.evacuations().isEvacuated("d1"));
        CHECK_FALSE(fleet.hosts[0]->content.evacuations().isEvacuated("d2"));
        for (auto& host : fleet.hosts)
            host->isCutOff = false;
        auto regained = fleet.timeUntil("d2", true);
        print("after the cut", hosts, regained);
        CHECK_TRUE(regained < allowed);
        CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", false));
    }
}

// Guards against an evacuation that ends, or whose end is lost, because the store is away: keys do not lapse, and what
// has changed is read at its return.
TEST(EvacuationSpread, OutageOfTheStoreKeepsTheState)
{
    for (auto [hosts, domains] : spreadSizes) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        fleet.timeUntil("d1", true);
        for (auto& host : fleet.hosts)
            host->reachesStore = false;
        fleet.run(2s, [] { return false; });
        CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", true));
        fleet.change("evacuate/d1", "", true);
        for (auto& host : fleet.hosts)
            host->reachesStore = true;
        auto ended = fleet.timeUntil("d1", false);
        print("end after an outage", hosts, ended);
        CHECK_TRUE(ended < allowed);
    }
}
