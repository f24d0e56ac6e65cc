#include "papayabend/dispatch/CrashSuspects.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(CrashingRequest) {};

// Guards against a request that ends one upstream on each host it is repeated at, and is refused by none.
TEST(CrashingRequest, RequestThatEndsOneUpstreamOnEachHostIsRefused)
{
    base::TimePoint now { 100s };
    std::array<dispatch::CrashSuspects, 8> hosts;
    for (size_t n = 0; n < dispatch::CrashSuspects::maxCrashes; ++n) {
        hosts[n].addCrash(7, now);
        for (auto& to : hosts) {
            if (&to != &hosts[n])
                to.merge(hosts[n].notices(now), now);
        }
    }
    for (const auto& host : hosts)
        CHECK_TRUE(host.isRefused(7, now));
}
