#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(FleetView)
{
    FleetView view { hostHeartbeat("a", "d1") };
    base::TimePoint now { 100s };
};

// Guards against an old heartbeat that comes over a third host and keeps a dead host alive.
TEST(FleetView, OnlyNewerHeartbeatsAreApplied)
{
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 1, 5), now));
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 1, 5), now + 2s));
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 1, 4), now + 2s));
    LONGS_EQUAL(1, view.liveHosts(now + 3s));
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 2, 1), now + 3s));
    LONGS_EQUAL(2, view.liveHosts(now + 3s));
}

// Guards against a host that counts itself twice when others pass its heartbeat on.
TEST(FleetView, OwnHeartbeatIsIgnored)
{
    CHECK_FALSE(view.apply(hostHeartbeat("a", "d1", 9, 9), now));
    LONGS_EQUAL(1, view.liveHosts(now));
}

// Guards against a membership that grows with every host that ever was.
TEST(FleetView, SilentHostsAreForgotten)
{
    view.apply(hostHeartbeat("b", "d1"), now);
    CHECK_TRUE(view.removeSilentHosts(now + 30s).empty());
    auto names = view.removeSilentHosts(now + 31s);
    LONGS_EQUAL(1, names.size());
    CHECK_TRUE(view.members().empty());
}

// Guards against hosts of other failure domains that seem dead because their heartbeats come over several hosts.
TEST(FleetView, RelayedHeartbeatsOfALargeFleetHaveMoreTime)
{
    for (int n = 0; n < 20; ++n)
        view.apply(hostHeartbeat("n" + std::to_string(n), n < 10 ? "d1" : "d2"), now);
    LONGS_EQUAL(11, view.liveHosts(now + 4s));
    LONGS_EQUAL(1, view.liveHosts(now + 9s));
}

// Guards against a host that is taken for dead for half a minute because it restarted after its clock was set back.
TEST(FleetView, LowerIncarnationOfASilentHostIsTaken)
{
    view.apply(hostHeartbeat("b", "d1", 9, 50), now);
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 5, 1), now + 2s));
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 5, 2), now + 3s));
    LONGS_EQUAL(2, view.liveHosts(now + 4s));
}
