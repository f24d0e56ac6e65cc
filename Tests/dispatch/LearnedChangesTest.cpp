#include "dispatch/UpstreamSimulation.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace papayabend::dispatch::simulation;
using namespace std::chrono_literals;

TEST_GROUP(LearnedChanges) { /** Plays runs that are long enough for estimates to follow what changes. */
    static void checkNotWorse(const Scenario& scenario, uint64_t seeds) {
        auto present = playSeeds(scenario, presentPolicy, seeds);
auto learned = playSeeds(scenario, learnedPolicy, seeds);
print("present", present);
print("learned", learned);
CHECK_TRUE(learned.inTimeShare() >= present.inTimeShare() - 0.005);
CHECK_TRUE(learned.wholeShare() >= present.wholeShare() - 0.001);
CHECK_TRUE(learned.attemptsPerRequest() <= present.attemptsPerRequest() + 0.01);
}
}
;

// Guards against estimates that keep what an upstream was like a minute ago.
TEST(LearnedChanges, UpstreamsThatChangeOnceAMinute)
{
    checkNotWorse({ .length = 180s, .load = 0.3, .hasUnlikeSpeeds = true, .hasKnee = true, .episode = 60s }, 4);
}

// Guards against hosts that avoid an upstream together after one slow answer each: 195 hosts, each with one request a
// second to each upstream.
TEST(LearnedChanges, HostsOfALargeFleet)
{
    checkNotWorse({ .hosts = 195,
                      .length = 6s,
                      .load = 0.5,
                      .slots = 24,
                      .hasUnlikeSpeeds = true,
                      .hasKnee = true,
                      .episode = 500ms },
        8);
}

// Guards against the same where most hosts have hardly any evidence.
TEST(LearnedChanges, HostsOfTheLargestFleet)
{
    checkNotWorse({ .hosts = 1600,
                      .length = 5s,
                      .load = 0.5,
                      .slots = 24,
                      .hasUnlikeSpeeds = true,
                      .hasKnee = true,
                      .episode = 500ms },
        8);
}
