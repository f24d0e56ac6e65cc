#include "papayabend/dispatch/Gather.h"

namespace papayabend::dispatch {

bool isEnough(uint32_t answered, uint32_t shards, double minShare)
{
    // Without the tolerance, a rounding error could put 17 of 20 below 0.85.
    constexpr double tolerance = 1e-9;
    return answered > 0 && static_cast<double>(answered) >= minShare * static_cast<double>(shards) - tolerance;
}

GatherStep decideGather(const GatherState& state, double minShare, const GatherTimes& times, base::TimePoint now)
{
    auto enough = isEnough(state.answered, state.shards, minShare);
    if (state.answered + state.failed == state.shards)
        return enough ? GatherStep::Answer : GatherStep::Fail;
    if (!isEnough(state.shards - state.failed, state.shards, minShare))
        return GatherStep::Fail;
    if (enough && now >= times.objectiveAt)
        return GatherStep::Answer;
    if (now >= times.limitAt)
        return enough ? GatherStep::Answer : GatherStep::Fail;
    return GatherStep::Wait;
}

}
