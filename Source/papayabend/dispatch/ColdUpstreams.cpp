#include "papayabend/dispatch/ColdUpstreams.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dispatch {

namespace {

    // An answer about the warm-up is kept for some time after its end, since the entry that was read before it may
    // state a later end. Longer than any warm-up that platforms state.
    constexpr base::Duration answerLifetime { std::chrono::hours(1) };
    // Part of the attempts that each class of priority leaves to the next more urgent one.
    constexpr uint32_t reservedPerRank = 4;

    /** Spreads the bits of a hash evenly (finalizer of SplitMix64); hashes of similar names are similar. */
    uint64_t mixed(uint64_t value)
    {
        value += 0x9e3779b97f4a7c15;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

}

double coldAim(const ColdBound& bound)
{
    auto most = bound.perSecond * bound.overage + bound.slack;
    // The sum over hosts of randomly rounded parts deviates by about its square root; this is the aim that is below the
    // bound by so many deviations.
    constexpr double deviations = 6;
    auto root = (std::sqrt(deviations * deviations + 4 * most) - deviations) / 2;
    return std::min({ bound.perSecond, most / 2, root * root });
}

uint32_t coldAllotment(const ColdBound& bound, double part, uint64_t key, std::string_view host)
{
    auto share = coldAim(bound) * part;
    auto whole = std::floor(share);
    auto drawn = std::ldexp(static_cast<double>(mixed(key ^ mixed(base::hash(host))) >> 11), -53);
    return static_cast<uint32_t>(whole) + (drawn < share - whole ? 1 : 0);
}

uint32_t coldAllotmentOf(uint32_t allotment, uint32_t rank)
{
    auto reserved = static_cast<uint64_t>(rank) * (allotment / reservedPerRank);
    return reserved >= allotment ? std::min(allotment, 1U) : allotment - static_cast<uint32_t>(reserved);
}

bool ColdUpstreams::observe(uint64_t key, base::Duration left, base::TimePoint now)
{
    auto& state = m_states[key];
    auto wasWarm = state.coldUntil <= now;
    state.answeredAt = now;
    state.coldUntil = now + left;
    return wasWarm && left.count() > 0;
}

base::TimePoint ColdUpstreams::coldUntil(const discovery::UpstreamEntry& entry, uint64_t key) const
{
    auto it = m_states.find(key);
    auto isAnswerNewer = it != m_states.end() && it->second.answeredAt > entry.reportedAt;
    return isAnswerNewer ? it->second.coldUntil : entry.reportedAt + entry.record.warmUpLeft;
}

void ColdUpstreams::take(uint64_t key, base::TimePoint now)
{
    auto& sentAt = m_states[key].sentAt;
    while (!sentAt.empty() && now - sentAt.front() > coldWindow)
        sentAt.pop_front();
    sentAt.push_back(now);
}

uint32_t ColdUpstreams::sent(uint64_t key, base::TimePoint now) const
{
    auto it = m_states.find(key);
    if (it == m_states.end())
        return 0;
    return static_cast<uint32_t>(
        std::ranges::count_if(it->second.sentAt, [now](auto at) { return now - at <= coldWindow; }));
}

base::Duration ColdUpstreams::waitFor(uint64_t key, uint32_t allotment, base::TimePoint now) const
{
    if (allotment == 0)
        return coldWindow;
    auto used = sent(key, now);
    if (used < allotment)
        return base::Duration(0);
    const auto& sentAt = m_states.find(key)->second.sentAt;
    auto leaves = sentAt[sentAt.size() - allotment];
    return leaves + coldWindow - now + base::Duration(1);
}

void ColdUpstreams::expire(base::TimePoint now)
{
    std::erase_if(m_states, [now](const auto& it) {
        const auto& state = it.second;
        auto isSending = !state.sentAt.empty() && now - state.sentAt.back() <= coldWindow;
        return !isSending && now - std::max(state.coldUntil, state.answeredAt) > answerLifetime;
    });
}

}
