#include "papayabend/dispatch/UpstreamHolds.h"

#include <algorithm>
#include <utility>

namespace papayabend::dispatch {

namespace {

    // A leaving upstream has ended after this time.
    constexpr base::Duration leavingLifetime { std::chrono::minutes(10) };
    // Longest random part of a pause, and its share of the pause.
    constexpr base::Duration maxPauseSpread { std::chrono::milliseconds(500) };
    constexpr double pauseSpreadShare = 0.2;

}

bool UpstreamHolds::addLeaving(uint64_t key, base::TimePoint now)
{
    auto& hold = m_holds[key];
    hold.leavingSince = now;
    return !std::exchange(hold.isLeaving, true);
}

void UpstreamHolds::addPause(uint64_t key, base::Duration pause, base::Random& random, base::TimePoint now)
{
    pause = std::clamp(pause, base::Duration(0), maxPause);
    auto spread = std::min(std::chrono::duration_cast<base::Duration>(pause * pauseSpreadShare), maxPauseSpread);
    auto& hold = m_holds[key];
    hold.pausedUntil = std::max(
        hold.pausedUntil, now + pause + std::chrono::duration_cast<base::Duration>(spread * base::uniform(random)));
}

bool UpstreamHolds::isLeaving(uint64_t key) const
{
    auto it = m_holds.find(key);
    return it != m_holds.end() && it->second.isLeaving;
}

base::Duration UpstreamHolds::pauseLeft(uint64_t key, base::TimePoint now) const
{
    auto it = m_holds.find(key);
    return it == m_holds.end() ? base::Duration(0) : std::max(it->second.pausedUntil - now, base::Duration(0));
}

void UpstreamHolds::expire(base::TimePoint now)
{
    std::erase_if(m_holds, [now](const auto& it) {
        auto hasLeft = !it.second.isLeaving || now - it.second.leavingSince > leavingLifetime;
        return hasLeft && it.second.pausedUntil <= now;
    });
}

size_t UpstreamHolds::countLeaving() const
{
    return static_cast<size_t>(std::ranges::count_if(m_holds, [](const auto& it) { return it.second.isLeaving; }));
}

size_t UpstreamHolds::countPaused(base::TimePoint now) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_holds, [now](const auto& it) { return it.second.pausedUntil > now; }));
}

}
