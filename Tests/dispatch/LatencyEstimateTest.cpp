#include "papayabend/dispatch/LatencyEstimate.h"

#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(LatencyEstimate)
{
    LatencyEstimate estimate;

    void addUniform(int64_t lowUs, int64_t highUs, int count)
    {
        base::Random random(7);
        for (int n = 0; n < count; ++n) {
            auto latency = lowUs + static_cast<int64_t>(base::uniform(random) * static_cast<double>(highUs - lowUs));
            addSample(estimate, base::Duration(latency));
        }
    }
};

// Guards against estimates that do not follow the latency, so that hedges are sent far too early or too late.
TEST(LatencyEstimate, FollowsMedianAndHighQuantile)
{
    addUniform(10'000, 30'000, 3000);
    DOUBLES_EQUAL(20'000, estimate.median, 3'000);
    DOUBLES_EQUAL(28'000, estimate.high, 3'000);
    addUniform(100'000, 300'000, 3000);
    DOUBLES_EQUAL(200'000, estimate.median, 30'000);
}

// Guards against hedging the first requests at once because there are no samples yet.
TEST(LatencyEstimate, ObjectiveBoundsTheHedgeDelay)
{
    CHECK_TRUE(hedgeDelay({}, 90ms) == 30ms);
    addUniform(100'000, 300'000, 3000);
    CHECK_TRUE(hedgeDelay(estimate, 90ms) == 30ms);
    CHECK_TRUE(hedgeDelay(estimate, 3s) > 200ms);
}
