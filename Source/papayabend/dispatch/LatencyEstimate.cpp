#include "papayabend/dispatch/LatencyEstimate.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // Relative step of one sample; the estimates converge within some hundred samples.
    constexpr double relativeStep = 0.05;
    // With fewer samples, hedgeDelay() returns its upper bound, which does not depend on the samples.
    constexpr uint32_t minSamples = 40;
    constexpr double maxObjectiveShare = 1.0 / 3;
    constexpr base::Duration minDelay { std::chrono::milliseconds(8) };
    constexpr base::Duration maxDelay { std::chrono::seconds(1) };

    void moveTowards(double& estimate, double sample, double quantile)
    {
        estimate += estimate * relativeStep * (sample > estimate ? quantile : quantile - 1);
    }

}

void addSample(LatencyEstimate& estimate, base::Duration latency)
{
    auto sample = std::max(static_cast<double>(latency.count()), 1.0);
    if (estimate.samples == 0)
        estimate = { sample, 2 * sample, 0 };
    moveTowards(estimate.median, sample, 0.5);
    moveTowards(estimate.high, sample, highQuantile);
    ++estimate.samples;
}

base::Duration hedgeDelay(const LatencyEstimate& estimate, base::Duration objective)
{
    auto limit = objective.count() > 0
        ? base::Duration(static_cast<int64_t>(static_cast<double>(objective.count()) * maxObjectiveShare))
        : maxDelay;
    if (estimate.samples < minSamples)
        return std::max(limit, minDelay);
    auto delay = base::Duration(static_cast<int64_t>(estimate.high));
    return std::max(std::min(delay, limit), minDelay);
}

}
