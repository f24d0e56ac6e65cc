#include "papayabend/routing/ServiceLatency.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(ServiceLatency)
{
    routing::ServiceLatencies latencies;
    base::TimePoint now { 100s };
};

// Guards against a fixed hedge delay when the latency of a service has changed.
TEST(ServiceLatency, QuantileFollowsTheLatencyOfTheService)
{
    CHECK(latencies.quantile("s", 0.95, 50ms) == 50ms);
    for (int n = 0; n < 1000; ++n)
        latencies.record("s", n % 100 == 0 ? 100ms : 5ms);
    auto fast = latencies.quantile("s", 0.95, 50ms);
    CHECK(fast >= 5ms && fast < 6ms);
    CHECK(latencies.quantile("s", 0.995, 50ms) >= 100ms);
    for (int n = 0; n < 40'000; ++n)
        latencies.record("s", 20ms);
    CHECK(latencies.quantile("s", 0.5, 50ms) >= 20ms);
}

// Guards against hedges that add load to an overloaded service, and against an overload that never ends.
TEST(ServiceLatency, OverloadIsDetectedAndExpires)
{
    latencies.countAttempts("s", 100, 5, now);
    CHECK_FALSE(latencies.isOverloaded("s", 0.1, now));
    latencies.countAttempts("s", 0, 10, now);
    CHECK(latencies.isOverloaded("s", 0.1, now));
    CHECK_FALSE(latencies.isOverloaded("other", 0.1, now));
    CHECK_FALSE(latencies.isOverloaded("s", 0.1, now + 3s));
}
