#include "papayabend/fleet/ColdShare.h"

#include "fleet/FleetFixture.h"
#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ColdUpstreams.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>
#include <vector>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

struct Size {
    size_t hosts;
    size_t domains;
    size_t serving;
};

/** Hosts that all have more requests for the cold upstreams of a service than they may send. */
struct ColdFleet {
    dispatch::ColdBound bound;
    std::vector<ColdShare> shares;
    std::vector<dispatch::ColdUpstreams> cold;
    base::Random random { 3 };
    base::TimePoint now { 1000s };

    ColdFleet(Size size, double perSecond)
        : bound { perSecond }
        , shares(size.hosts)
        , cold(size.hosts)
    {
        for (size_t n = 0; n < size.hosts; ++n) {
            auto& share = shares[n];
            auto ownDomain = size.hosts / size.domains;
            share.hosts = { size.hosts, now };
            share.ownDomain = { ownDomain, now };
            share.serving = { size.serving, now };
            share.liveInOwnDomain = ownDomain;
            share.isServing = n < size.serving;
            share.servingSince = now - 1min;
            share.needsOthers = true;
        }
    }

    /** Cuts hosts off from each other: each believes that it is alone and callers are sent to it. */
    void isolate(double part)
    {
        for (auto& share : shares) {
            if (base::uniform(random) >= part)
                continue;
            FleetView alone { hostHeartbeat("alone", "d") };
            observe(share, alone, true, 1, now);
        }
    }

    /** Returns the most attempts that arrive at an upstream in any second of 6 s. */
    size_t mostInASecond(uint64_t key)
    {
        std::vector<base::TimePoint> arrivals;
        for (size_t n = 0; n < shares.size(); ++n) {
            auto allotment = dispatch::coldAllotment(bound, partOf(shares[n], now), key, "h" + std::to_string(n));
            auto end = now + 6s;
            for (auto at = now + std::chrono::microseconds(base::uniformIndex(random, 1'000'000));
                 allotment > 0 && at < end; at += 10ms) {
                if (cold[n].waitFor(key, allotment, at).count() > 0)
                    continue;
                cold[n].take(key, at);
                arrivals.push_back(at + std::chrono::milliseconds(1 + base::uniformIndex(random, 20)));
            }
        }
        std::ranges::sort(arrivals);
        size_t most = 0;
        for (size_t first = 0, n = 0; n < arrivals.size(); ++n) {
            while (arrivals[n] - arrivals[first] >= 1s)
                ++first;
            most = std::max(most, n - first + 1);
        }
        return most;
    }
};

constexpr std::initializer_list<Size> sizes { { 6, 3, 6 }, { 33, 3, 9 }, { 62, 3, 9 }, { 195, 3, 30 },
    { 1600, 13, 800 } };

}

TEST_GROUP(ColdShare) { base::TimePoint now { 1000s }; };

// Guards against a cold upstream that gets more in a second than its service states, over all hosts, also those that
// are cut off from each other; and against hosts that send it nothing.
TEST(ColdShare, AllHostsTogetherStayWithinTheBound)
{
    for (const auto& size : sizes) {
        for (double perSecond : { 1.0, 8.0, 40.0 }) {
            for (double isolated : { 0.0, 0.3, 1.0 }) {
                ColdFleet fleet(size, perSecond);
                fleet.isolate(isolated);
                size_t most = 0;
                for (uint64_t key = 1; key <= 30; ++key)
                    most = std::max(most, fleet.mostInASecond(key * 7919));
                printf("%d hosts, %d/s, %d%% isolated: at most %d in a second\n", static_cast<int>(size.hosts),
                    static_cast<int>(perSecond), static_cast<int>(isolated * 100), static_cast<int>(most));
                CHECK_TRUE(static_cast<double>(most) <= perSecond * 1.5 + 5);
                CHECK_TRUE(isolated > 0 || most > 0);
            }
        }
    }
}

// Guards against a host that is cut off and takes the parts of the others, and one that starts without hearing any.
TEST(ColdShare, HostsThatAreCutOffTakeNoMoreThanTheyHad)
{
    FleetView fleet { hostHeartbeat("self", "d") };
    for (const auto* name : { "a", "b", "c" })
        fleet.apply(hostHeartbeat(name, "d"), now);
    ColdShare share;
    share.needsOthers = true;
    DOUBLES_EQUAL(0, partOf(share, now), 0);
    observe(share, fleet, true, 4, now);
    DOUBLES_EQUAL(0.05, partOf(share, now), 1e-9);
    now += 3s;
    DOUBLES_EQUAL(0.25, partOf(share, now), 1e-9);
    observe(share, fleet, true, 1, now);
    DOUBLES_EQUAL(0.05, partOf(share, now), 1e-9);
    now += coldPeakTime;
    fleet.apply(hostHeartbeat("a", "d", 1, 2), now);
    observe(share, fleet, true, 4, now);
    DOUBLES_EQUAL(0.25, partOf(share, now), 1e-9);
    ColdShare single;
    observe(single, FleetView { hostHeartbeat("self", "d") }, true, 1, now);
    DOUBLES_EQUAL(1, partOf(single, now + 3s), 1e-9);
}
