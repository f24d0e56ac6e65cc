#include "papayabend/dispatch/StopAdmission.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // Multiples of the high quantile of the latency. The answer to a request that was passed on in vain is lost to a
    // caller that must not repeat it; the caller of an idempotent one repeats it at another host.
    constexpr double idempotentFactor = 2;
    constexpr double onceFactor = 4;
    // With fewer samples the quantile is not used.
    constexpr uint32_t minSamples = 40;
    // For an idempotent request of a route without an objective.
    constexpr base::Duration defaultObjective { std::chrono::seconds(1) };
    // Time for the platform to start the process again.
    constexpr base::Duration restartTime { std::chrono::seconds(1) };
    constexpr base::Duration otherHostRetryAfter { std::chrono::milliseconds(10) };

}

base::Duration servingTime(const LatencyEstimate& latency, const StopInputs& inputs)
{
    auto left = inputs.deadlineAt - inputs.now;
    auto isEstimated = latency.samples >= minSamples;
    if (!isEstimated && !inputs.isIdempotent)
        return left;
    auto factor = inputs.isIdempotent ? idempotentFactor : onceFactor;
    auto objective = inputs.objective.count() > 0 ? inputs.objective : defaultObjective;
    auto estimate = isEstimated ? base::Duration(static_cast<int64_t>(latency.high * factor)) : 2 * objective;
    return std::min(std::max(estimate, objective), left);
}

bool mayBeginDuringStop(const LatencyEstimate& latency, const StopInputs& inputs)
{
    if (inputs.now >= inputs.endsAt)
        return false;
    if (inputs.isIdempotent && !inputs.hasOtherHost)
        return true;
    return inputs.now + servingTime(latency, inputs) <= inputs.endsAt;
}

base::Duration retryAfterStop(const StopInputs& inputs)
{
    if (inputs.hasOtherHost)
        return otherHostRetryAfter;
    return std::max(inputs.endsAt - inputs.now, base::Duration(0)) + restartTime;
}

}
