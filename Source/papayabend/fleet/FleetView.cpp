#include "papayabend/fleet/FleetView.h"

#include <algorithm>
#include <tuple>

namespace papayabend::fleet {

bool FleetView::apply(const HostBeat& beat, base::TimePoint now)
{
    if (beat.name.empty() || beat.name == m_self.name)
        return false;
    auto [it, isNew] = m_members.try_emplace(beat.name, Member { beat, now });
    if (isNew)
        return true;
    auto& known = it->second;
    // After the clock of a host was set back, its next process has a lower incarnation than the silent predecessor.
    auto isSuccessor = beat.incarnation != known.beat.incarnation && now - known.newsAt > livenessTimeout;
    auto isNewer = std::tie(beat.incarnation, beat.sequence) > std::tie(known.beat.incarnation, known.beat.sequence);
    if (!isNewer && !isSuccessor)
        return false;
    known = { beat, now };
    return true;
}

std::vector<std::string> FleetView::forget(base::TimePoint now)
{
    std::vector<std::string> names;
    std::erase_if(m_members, [&](const auto& it) {
        if (now - it.second.newsAt <= forgetTime)
            return false;
        names.push_back(it.first);
        return true;
    });
    return names;
}

bool FleetView::isAlive(const Member& member, base::TimePoint now) const
{
    auto isRelayed = !isSmall() && member.beat.failureDomain != m_self.failureDomain;
    return now - member.newsAt <= (isRelayed ? relayedLivenessTimeout : livenessTimeout);
}

std::vector<const HostBeat*> FleetView::liveBeats(base::TimePoint now) const
{
    std::vector<const HostBeat*> beats { &m_self };
    for (const auto& [name, member] : m_members) {
        if (isAlive(member, now))
            beats.push_back(&member.beat);
    }
    return beats;
}

size_t FleetView::liveHosts(base::TimePoint now) const
{
    auto others = std::ranges::count_if(m_members, [&](const auto& it) { return isAlive(it.second, now); });
    return 1 + static_cast<size_t>(others);
}

}
