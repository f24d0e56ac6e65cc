#include "papayabend/fleet/FleetView.h"

#include <algorithm>
#include <tuple>

namespace papayabend::fleet {

bool FleetView::apply(const Heartbeat& heartbeat, base::TimePoint now)
{
    if (heartbeat.name.empty() || heartbeat.name == m_self.name)
        return false;
    auto [it, isNew] = m_members.try_emplace(heartbeat.name, Member { heartbeat, now });
    if (isNew)
        return true;
    auto& known = it->second;
    // A process that starts after its clock was set back has a lower incarnation than its silent predecessor.
    auto isSuccessor = heartbeat.incarnation != known.heartbeat.incarnation && now - known.lastHeardAt > aliveTime;
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
    return now - member.lastHeardAt <= (isRelayed ? relayedAliveTime : aliveTime);
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
