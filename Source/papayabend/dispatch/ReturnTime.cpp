#include "papayabend/dispatch/ReturnTime.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dispatch {

namespace {

    // Between a caller and a host of the same failure domain.
    constexpr base::Duration defaultRoundTrip { std::chrono::milliseconds(6) };
    // A path that is slower than this would leave too little time for the upstreams.
    constexpr base::Duration maxRoundTrip { std::chrono::milliseconds(50) };
    // Reading the request, merging the answer and sending it.
    constexpr base::Duration handlingTime { std::chrono::milliseconds(6) };
    constexpr base::Duration delayHalfLife { std::chrono::seconds(1) };
    constexpr base::Duration maxDelay { std::chrono::milliseconds(30) };

}

void observe(TurnDelay& estimate, base::Duration late, base::TimePoint now)
{
    estimate.delay = std::max(expectedDelay(estimate, now), std::clamp(late, base::Duration(0), maxDelay));
    estimate.observedAt = now;
}

base::Duration expectedDelay(const TurnDelay& estimate, base::TimePoint now)
{
    auto age = std::chrono::duration<double>(now - estimate.observedAt) / std::chrono::duration<double>(delayHalfLife);
    return base::Duration(
        static_cast<int64_t>(static_cast<double>(estimate.delay.count()) * std::exp2(-std::max(age, 0.0))));
}

base::Duration returnTime(const CallerPath& path, const TurnDelay& delay, base::TimePoint now)
{
    auto roundTrip = path.roundTrip.count() > 0 ? std::min(path.roundTrip, maxRoundTrip) : defaultRoundTrip;
    auto questionTime = 2 * std::min(roundTrip, defaultRoundTrip);
    return questionTime + roundTrip * (path.isNewConnection ? 2 : 1) + expectedDelay(delay, now) + handlingTime;
}

}
