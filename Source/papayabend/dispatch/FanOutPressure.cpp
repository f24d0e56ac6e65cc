#include "papayabend/dispatch/FanOutPressure.h"

#include "papayabend/dispatch/ConcurrencyLimiter.h"

namespace papayabend::dispatch {

std::optional<double> loadMet(const FanOutProgress& progress)
{
    if (progress.hasFailed && 2 * progress.turnedAway >= progress.failed && progress.turnedAway > 0)
        return ConcurrencyLimiter::lostTime;
    auto time = std::chrono::duration<double>(progress.elapsed) / std::chrono::duration<double>(progress.objective);
    if (2 * progress.answered >= progress.shards || time >= ConcurrencyLimiter::lostTime)
        return time;
    return std::nullopt;
}

}
