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

// Guards against an old heartbeat that a third host relays and that makes a failed host look alive.
TEST(FleetView, OnlyNewerHeartbeatsAreApplied)
{
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 1, 5), now));
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 1, 5), now + 2s));
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 1, 4), now + 2s));
    LONGS_EQUAL(1, view.liveHosts(now + 3s));
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 2, 1), now + 3s));
    LONGS_EQUAL(2, view.liveHosts(now + 3s));
}

// Guards against a host that counts itself twice when others relay its heartbeat.
TEST(FleetView, OwnHeartbeatIsIgnored)
{
    CHECK_FALSE(view.apply(hostHeartbeat("a", "d1", 9, 9), now));
    LONGS_EQUAL(1, view.liveHosts(now));
}

// Guards against a list of hosts that keeps every host that ever existed.
TEST(FleetView, SilentHostsAreRemoved)
{
    view.apply(hostHeartbeat("b", "d1"), now);
    CHECK_TRUE(view.removeSilentHosts(now + 30s).empty());
    auto names = view.removeSilentHosts(now + 31s);
    LONGS_EQUAL(1, names.size());
    CHECK_TRUE(view.members().empty());
}

// Guards against hosts of other failure domains that count as failed because their heartbeats are relayed several
// times.
TEST(FleetView, RemoteHostsOfALargeFleetHaveALongerTimeout)
{
    for (int n = 0; n < 20; ++n)
        view.apply(hostHeartbeat("n" + std::to_string(n), n < 10 ? "d1" : "d2"), now);
    LONGS_EQUAL(11, view.liveHosts(now + 4s));
    LONGS_EQUAL(1, view.liveHosts(now + 9s));
}

// Guards against a host that counts as failed for half a minute because it restarted after its clock was set back.
TEST(FleetView, LowerIncarnationOfASilentHostIsApplied)
{
    view.apply(hostHeartbeat("b", "d1", 9, 50), now);
    CHECK_FALSE(view.apply(hostHeartbeat("b", "d1", 5, 1), now + 2s));
    CHECK_TRUE(view.apply(hostHeartbeat("b", "d1", 5, 2), now + 3s));
    LONGS_EQUAL(2, view.liveHosts(now + 4s));
}

// Guards against a confirmation of the store that is stated although there was none, or with the age of an earlier
// heartbeat.
TEST(FleetView, HeartbeatStatesTheAgeAtTheMomentOfSending)
{
    CHECK_TRUE(view.ownHeartbeat(now).storeAgeMs == Heartbeat::unknownStoreAge);
    view.setStoreConfirmedAt(now);
    LONGS_EQUAL(0, view.ownHeartbeat(now).storeAgeMs);
    LONGS_EQUAL(1700, view.ownHeartbeat(now + 1700ms).storeAgeMs);
    CHECK_TRUE(view.ownHeartbeat(now + std::chrono::hours(2000)).storeAgeMs != Heartbeat::unknownStoreAge);
}
