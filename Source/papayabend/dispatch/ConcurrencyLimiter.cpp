#include "papayabend/dispatch/ConcurrencyLimiter.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    constexpr double sampleWeight = 0.2;
    constexpr double cutFactor = 0.8;
    constexpr double minLimit = 1;
    // A cut shows after the fan-outs that were running at its time have ended.
    constexpr base::Duration cutInterval { std::chrono::milliseconds(100) };

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

void ConcurrencyLimiter::observe(std::string_view shards, double time, base::TimePoint now)
{
    auto& state = m_states[std::string(shards)];
    state.time += sampleWeight * (std::min(time, 2.0) - state.time);
    if (state.time > highTime && now - state.cutAt >= cutInterval) {
        auto used = std::min(state.limit, static_cast<double>(state.shares.running()) + 1);
        state.limit = std::max(minLimit, cutFactor * used);
        state.cutAt = now;
    } else if (state.time < lowTime) {
        state.limit = std::min(maxLimit, state.limit + 1 / state.limit);
    }
}

bool ConcurrencyLimiter::isOverloaded(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it != m_states.end() && it->second.time > highTime;
}

double ConcurrencyLimiter::limit(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it == m_states.end() ? maxLimit : it->second.limit;
}

}
