#include "replay/ControlFleet.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(ControlPath) { // Fails with the seed and the last events.
    void require(const replay::ControlFleet& fleet, bool condition, const std::string& what) {
        auto text = what + "\n" + (fleet.violations.empty() ? "" : fleet.violations.front() + "\n") + fleet.trace();
CHECK_TEXT(condition&& fleet.violations.empty(), text.c_str());
}
}
;

// Guards against a host that starts empty and does not serve within 2 s although the platform answers.
TEST(ControlPath, EmptyFleetServesWithinTwoSeconds)
{
    replay::ControlFleet fleet({ .seed = 11, .hosts = 8 });
    fleet.startAll(100ms);
    fleet.runFor(2100ms);
    require(fleet, fleet.isReadyEverywhere(), "not ready");
}
