#include "papayabend/dispatch/UpstreamLimits.h"

#include "papayabend/base/Hash.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // An upstream whose answers are no longer seen is taken to have no limit after this time.
    constexpr base::Duration limitLifetime { std::chrono::seconds(10) };

}

uint64_t UpstreamLimits::keyOf(std::string_view id, std::optional<int64_t> startedAt)
{
    return base::hash(id, static_cast<uint64_t>(startedAt.value_or(0)));
}

bool UpstreamLimits::isKnown(const Limit& limit, base::TimePoint now)
{
    return limit.perSecond && now - limit.observedAt <= limitLifetime;
}

bool UpstreamLimits::observe(uint64_t key, std::optional<double> perSecond, base::TimePoint now)
{
    auto it = m_limits.find(key);
    if (it == m_limits.end() && !perSecond)
        return false;
    if (it == m_limits.end())
        std::erase_if(m_limits, [now](const auto& each) { return now - each.second.observedAt > limitLifetime; });
    auto hasChanged = limitOf(key, now) != perSecond;
    m_limits[key] = { perSecond, now };
    return hasChanged;
}

std::optional<double> UpstreamLimits::limitOf(uint64_t key, base::TimePoint now) const
{
    auto it = m_limits.find(key);
    return it != m_limits.end() && isKnown(it->second, now) ? it->second.perSecond : std::nullopt;
}

size_t UpstreamLimits::count(base::TimePoint now) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_limits, [now](const auto& it) { return isKnown(it.second, now); }));
}

}
