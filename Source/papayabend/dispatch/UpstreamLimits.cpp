#include "papayabend/dispatch/UpstreamLimits.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace papayabend::dispatch {

namespace {

    // An upstream whose answers are no longer seen is taken to have no limit after this time.
    constexpr base::Duration limitLifetime { std::chrono::seconds(10) };
    // Requests per second that all hosts together still send to an upstream with a lower limit; without an answer now
    // and then they would not learn that the limit has ended.
    constexpr double minLimitPerSecond = 0.2;
    // Requests of this time may be sent at once after a time with fewer.
    constexpr double burstSeconds = 0.5;
    // Differences in the transfer time of messages; a notice replaces an observation only if it is newer by more.
    constexpr base::Duration noticeMargin { std::chrono::milliseconds(50) };

    double rateOf(double limit, double share) { return std::max(limit, minLimitPerSecond) * share; }

}

uint64_t UpstreamLimits::keyOf(std::string_view id, std::optional<int64_t> startedAt)
{
    // The time is not used as the seed: for short texts, similar seeds and texts give equal hashes.
    return base::hash(std::string(id) + ' ' + std::to_string(startedAt.value_or(0)));
}

bool UpstreamLimits::isKnown(const Limit& limit, base::TimePoint now)
{
    return limit.perSecond && now - limit.observedAt <= limitLifetime;
}

void UpstreamLimits::discardExpired(base::TimePoint now)
{
    std::erase_if(m_limits, [now](const auto& it) { return now - it.second.observedAt > limitLifetime; });
}

bool UpstreamLimits::observe(uint64_t key, std::optional<double> perSecond, base::TimePoint now)
{
    auto it = m_limits.find(key);
    // The end of a limit is kept with its time, so that it expires.
    if (!perSecond && (it == m_limits.end() || !it->second.perSecond))
        return false;
    if (it == m_limits.end())
        discardExpired(now);
    auto hasChanged = limitOf(key, now) != perSecond;
    auto& limit = m_limits[key];
    limit.perSecond = perSecond;
    limit.observedAt = now;
    return hasChanged;
}

void UpstreamLimits::merge(std::span<const LimitNotice> notices, base::TimePoint now)
{
    for (const auto& notice : notices) {
        auto observedAt = now - std::max(notice.age, base::Duration(0));
        auto it = m_limits.find(notice.upstream);
        auto isNew = it == m_limits.end() && notice.perSecond && now - observedAt <= limitLifetime;
        if (!isNew && (it == m_limits.end() || observedAt <= it->second.observedAt + noticeMargin))
            continue;
        auto& limit = m_limits[notice.upstream];
        limit.perSecond = notice.perSecond;
        limit.observedAt = observedAt;
    }
    discardExpired(now);
}

std::vector<LimitNotice> UpstreamLimits::notices(base::Random& random, base::TimePoint now) const
{
    std::vector<std::pair<uint64_t, Limit>> chosen;
    std::ranges::sample(m_limits, std::back_inserter(chosen), maxNotices, random);
    std::vector<LimitNotice> notices;
    std::ranges::transform(chosen, std::back_inserter(notices), [now](const auto& it) {
        return LimitNotice { it.first, it.second.perSecond, now - it.second.observedAt };
    });
    return notices;
}

std::optional<double> UpstreamLimits::limitOf(uint64_t key, base::TimePoint now) const
{
    auto it = m_limits.find(key);
    return it != m_limits.end() && isKnown(it->second, now) ? it->second.perSecond : std::nullopt;
}

double UpstreamLimits::tokensOf(const Limit& limit, double rate, base::TimePoint now)
{
    auto depth = std::max(rate * burstSeconds, 1.0);
    if (limit.refilledAt == base::TimePoint {})
        return depth;
    return std::min(limit.tokens + rate * std::chrono::duration<double>(now - limit.refilledAt).count(), depth);
}

base::Duration UpstreamLimits::waitFor(uint64_t key, double share, base::TimePoint now, uint32_t waiting) const
{
    auto it = m_limits.find(key);
    if (it == m_limits.end() || !isKnown(it->second, now))
        return base::Duration(0);
    auto rate = rateOf(*it->second.perSecond, share);
    auto missing = 1 + static_cast<double>(waiting) - tokensOf(it->second, rate, now);
    if (missing <= 0)
        return base::Duration(0);
    auto seconds = std::min(missing / rate, std::chrono::duration<double>(limitLifetime).count());
    return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(seconds));
}

void UpstreamLimits::take(uint64_t key, double share, base::TimePoint now)
{
    auto it = m_limits.find(key);
    if (it == m_limits.end() || !isKnown(it->second, now))
        return;
    auto& limit = it->second;
    limit.tokens = std::max(tokensOf(limit, rateOf(*limit.perSecond, share), now) - 1, 0.0);
    limit.refilledAt = now;
}

size_t UpstreamLimits::count(base::TimePoint now) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_limits, [now](const auto& it) { return isKnown(it.second, now); }));
}

}
