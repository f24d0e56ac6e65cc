#include "papayabend/dispatch/ConcurrencyLimiter.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    constexpr double sampleWeight = 0.2;
    constexpr double decreaseFactor = 0.8;
    // For fan-outs that were lost: each of them has used places in the queues of most shards for nothing.
    constexpr double lostSampleWeight = 0.5;
    constexpr double lostDecreaseFactor = 0.5;
    constexpr double minLimit = 1;
    // A decrease takes effect only after the fan-outs that were running at the time have ended.
    constexpr base::Duration minDecreaseInterval { std::chrono::milliseconds(100) };

}

bool ConcurrencyLimiter::tryAcquire(std::string_view shards, const TrafficClass& trafficClass, base::TimePoint now)
{
    auto& state = m_states[std::string(shards)];
    state.shares.addArrival(trafficClass, now);
    if (!state.shares.mayBegin(trafficClass, state.limit, now))
        return false;
    state.shares.begin(trafficClass);
    return true;
}

void ConcurrencyLimiter::release(std::string_view shards, const TrafficClass& trafficClass, base::Duration runTime)
{
    m_states[std::string(shards)].shares.end(trafficClass, runTime);
}

void ConcurrencyLimiter::observe(std::string_view shards, double relativeTime, base::TimePoint now)
{
    auto& state = m_states[std::string(shards)];
    auto isLost = relativeTime >= lostTime;
    state.relativeTime
        += (isLost ? lostSampleWeight : sampleWeight) * (std::min(relativeTime, lostTime) - state.relativeTime);
    if (state.relativeTime > overloadTime && now - state.decreasedAt >= minDecreaseInterval) {
        auto inUse = std::min(state.limit, static_cast<double>(state.shares.running()) + 1);
        state.limit = std::max(minLimit, (isLost ? lostDecreaseFactor : decreaseFactor) * inUse);
        state.decreasedAt = now;
    } else if (state.relativeTime < growthTime) {
        state.limit = std::min(maxLimit, state.limit + 1 / state.limit);
    }
}

bool ConcurrencyLimiter::isOverloaded(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it != m_states.end() && it->second.relativeTime > overloadTime;
}

double ConcurrencyLimiter::limit(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it == m_states.end() ? maxLimit : it->second.limit;
}

}
