#include "papayabend/fleet/FleetView.h"

#include <algorithm>
#include <tuple>

namespace papayabend::fleet {

namespace {

    // An hour; older confirmations need no distinction.
    constexpr int64_t maxStatedAgeMs = 3'600'000;

}

Heartbeat FleetView::ownHeartbeat(base::TimePoint now) const
{
    auto heartbeat = m_self;
    if (m_storeConfirmedAt != base::TimePoint {}) {
        auto age = std::clamp<int64_t>(base::toMilliseconds(now - m_storeConfirmedAt), 0, maxStatedAgeMs);
        heartbeat.storeAgeMs = static_cast<uint32_t>(age);
    }
    return heartbeat;
}

bool FleetView::apply(const Heartbeat& heartbeat, base::TimePoint now)
{
    if (heartbeat.name.empty() || heartbeat.name == m_self.name)
        return false;
    auto [it, isNew] = m_members.try_emplace(heartbeat.name, Member { heartbeat, now });
    if (isNew)
        return true;
    auto& known = it->second;
    // After the clock of a host was set back, its next process has a lower incarnation than the silent predecessor.
    auto isSuccessor
        = heartbeat.incarnation != known.heartbeat.incarnation && now - known.lastHeardAt > livenessTimeout;
    auto isNewer = std::tie(heartbeat.incarnation, heartbeat.sequence)
        > std::tie(known.heartbeat.incarnation, known.heartbeat.sequence);
    if (!isNewer && !isSuccessor)
        return false;
    known = { heartbeat, now };
    return true;
}

std::vector<std::string> FleetView::removeSilentHosts(base::TimePoint now)
{
    std::vector<std::string> names;
    std::erase_if(m_members, [&](const auto& it) {
        if (now - it.second.lastHeardAt <= removalTimeout)
            return false;
        names.push_back(it.first);
        return true;
    });
    return names;
}

bool FleetView::isAlive(const Member& member, base::TimePoint now) const
{
    auto isRelayed = !isSmall() && member.heartbeat.failureDomain != m_self.failureDomain;
    return now - member.lastHeardAt <= (isRelayed ? relayedLivenessTimeout : livenessTimeout);
}

std::vector<const Heartbeat*> FleetView::liveHeartbeats(base::TimePoint now) const
{
    std::vector<const Heartbeat*> heartbeats { &m_self };
    for (const auto& [name, member] : m_members) {
        if (isAlive(member, now))
            heartbeats.push_back(&member.heartbeat);
    }
    return heartbeats;
}

size_t FleetView::liveHosts(base::TimePoint now) const
{
    auto others = std::ranges::count_if(m_members, [&](const auto& it) { return isAlive(it.second, now); });
    return 1 + static_cast<size_t>(others);
}

}
