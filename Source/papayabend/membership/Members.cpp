#include "papayabend/membership/Members.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>
#include <utility>

namespace papayabend::membership {

namespace {

    // News of a removed host can be on its way for as long as a partition lasts; an hour is the longest expected.
    constexpr base::Duration tombstoneTime = std::chrono::hours(1);

    constexpr size_t readersPerDomain = 2;

    void spread(Members& members, std::string_view name)
    {
        auto it = std::ranges::find(members.pendingObservations, name, &PendingObservation::name);
        if (it == members.pendingObservations.end())
            members.pendingObservations.push_back({ std::string(name), 0 });
        else
            it->messages = 0;
    }

    // With three times log2 of the fleet size, a pending observation misses a host with negligible probability.
    unsigned messagesPerObservation(const Members& members)
    {
        return 3 * static_cast<unsigned>(std::bit_width(members.others.size() + 1));
    }

    // A suspicion is newer than the heartbeat it refers to; any later heartbeat ends it.
    auto ageOf(const HostObservation& it)
    {
        return std::tuple(it.incarnation, it.heartbeat, it.state == HostState::Suspected);
    }

    bool hasTombstone(const Members& members, const HostObservation& it)
    {
        auto stone = members.removed.find(it.name);
        return stone != members.removed.end()
            && std::pair(it.incarnation, it.heartbeat) <= std::pair(stone->second.incarnation, stone->second.heartbeat);
    }

    ObservationResult takeSelfObservation(Members& members, const HostObservation& it)
    {
        if (it.incarnation > members.self.incarnation) {
            members.isReplaced = true;
            return ObservationResult::Newer;
        }
        if (it.state != HostState::Suspected)
            return ObservationResult::Known;
        // The next heartbeat is later than the suspicion and refutes it everywhere.
        members.self.heartbeat = std::max(members.self.heartbeat, it.heartbeat) + 1;
        spread(members, members.self.name);
        return ObservationResult::Older;
    }

    bool isRemovable(const Member& member, base::TimePoint now)
    {
        return !member.isListed && member.unlisted && now - *member.unlisted >= holdTime
            && now - member.lastHeardAt >= holdTime;
    }

    void removeMembers(Members& members, base::TimePoint now)
    {
        for (const auto& [name, member] : members.others) {
            if (!isRemovable(member, now))
                continue;
            members.removed[name] = { member.seen.incarnation, member.seen.heartbeat, now };
            ++members.removals;
            members.isChanged = true;
        }
        std::erase_if(members.others, [&](const auto& it) { return isRemovable(it.second, now); });
        std::erase_if(members.removed, [&](const auto& it) { return now - it.second.removed > tombstoneTime; });
    }

    bool hasLeft(const Member& member) { return member.seen.state == HostState::Gone; }

    // Appends up to count random elements of the candidates.
    void pick(std::vector<const Member*>& candidates, size_t count, base::Random& random, std::vector<Peer>& chosen)
    {
        for (; count > 0 && !candidates.empty(); --count) {
            std::swap(candidates[base::uniformIndex(random, candidates.size())], candidates.back());
            chosen.push_back({ candidates.back()->seen.name, candidates.back()->seen.peerAddress });
            candidates.pop_back();
        }
    }

}

Members makeMembers(const HostIdentity& identity)
{
    Members members;
    members.self = { identity.name, identity.callerAddress, identity.peerAddress, identity.failureDomain,
        identity.region, identity.incarnation, 1, HostState::Starting, 0 };
    return members;
}

bool applyHostList(Members& members, const HostList& list, base::TimePoint now)
{
    if (list.version <= members.listVersion)
        return false;
    members.listVersion = list.version;
    members.isChanged = true;
    for (auto& [name, member] : members.others)
        member.isListed = false;
    members.isSelfListed = false;
    for (const auto& it : list.hosts) {
        if (it.name == members.self.name) {
            members.isSelfListed = true;
            continue;
        }
        auto [position, isNew] = members.others.try_emplace(it.name);
        auto& member = position->second;
        if (isNew) {
            member.seen = { it.name, it.callerAddress, it.peerAddress, it.failureDomain, it.region, 0, 0,
                HostState::Serving, 0 };
            member.lastHeardAt = now;
        }
        member.isListed = true;
        member.isListedLeaving = it.isLeaving;
        member.unlisted.reset();
    }
    for (auto& [name, member] : members.others) {
        if (!member.isListed && !member.unlisted)
            member.unlisted = now;
    }
    return true;
}

ObservationResult applyObservation(Members& members, const HostObservation& it, bool isDirect, base::TimePoint now)
{
    if (it.name.empty())
        return ObservationResult::Known;
    if (it.name == members.self.name)
        return takeSelfObservation(members, it);
    auto position = members.others.find(it.name);
    if (position == members.others.end()) {
        if (hasTombstone(members, it) || it.state == HostState::Suspected || it.state == HostState::Gone
            || it.heartbeat == 0)
            return ObservationResult::Known;
        position = members.others.try_emplace(it.name).first;
        position->second.unlisted = now;
    }
    auto& member = position->second;
    auto& seen = member.seen;
    if (ageOf(it) <= ageOf(seen)) {
        // Messages of one period, and such as were composed from the view, carry no newer heartbeat.
        if (isDirect && it.incarnation == seen.incarnation) {
            if (seen.state != HostState::Suspected) {
                member.unanswered.reset();
                member.lastHeardAt = now;
            }
            return ObservationResult::Known;
        }
        return ageOf(it) < ageOf(seen) ? ObservationResult::Older : ObservationResult::Known;
    }
    auto isEvent = it.incarnation != seen.incarnation || it.state != seen.state;
    auto isAlive = it.state != HostState::Suspected;
    seen = it;
    if (isAlive) {
        member.lastHeardAt = now;
        member.unanswered.reset();
    }
    if (isEvent) {
        spread(members, it.name);
        members.isChanged = true;
    }
    return ObservationResult::Newer;
}

void probeSent(Members& members, std::string_view name, base::TimePoint now)
{
    auto it = members.others.find(name);
    if (it != members.others.end() && !it->second.unanswered)
        it->second.unanswered = now;
}

void expireMembers(Members& members, base::TimePoint now)
{
    ++members.self.heartbeat;
    if (!members.isSelfListed && now - members.lastAnnouncement >= announceInterval) {
        members.lastAnnouncement = now;
        spread(members, members.self.name);
    }
    for (auto& [name, member] : members.others) {
        if (!member.unanswered || member.seen.state == HostState::Suspected || hasLeft(member))
            continue;
        if (now - *member.unanswered < suspicionTime) {
            // Peers that hold newer news of the host answer with it.
            if (now > *member.unanswered)
                spread(members, name);
            continue;
        }
        member.seen.state = HostState::Suspected;
        members.isChanged = true;
        ++members.suspicions;
        spread(members, name);
    }
    removeMembers(members, now);
}

void resumeMembers(Members& members, base::TimePoint now)
{
    for (auto& [name, member] : members.others) {
        member.unanswered.reset();
        member.lastHeardAt = now;
        if (member.unlisted)
            member.unlisted = now;
    }
}

void setSelfState(Members& members, HostState state)
{
    if (members.self.state == state)
        return;
    members.self.state = state;
    ++members.self.heartbeat;
    members.isChanged = true;
    spread(members, members.self.name);
}

std::vector<HostObservation> takePendingObservations(Members& members)
{
    auto& pendingObservations = members.pendingObservations;
    auto count = std::min(maxObservations, pendingObservations.size());
    // The newest pending observations come first.
    std::ranges::partial_sort(pendingObservations, pendingObservations.begin() + static_cast<ptrdiff_t>(count), {},
        &PendingObservation::messages);
    std::vector<HostObservation> observations;
    for (size_t n = 0; n < count; ++n) {
        ++pendingObservations[n].messages;
        if (pendingObservations[n].name == members.self.name)
            observations.push_back(members.self);
        else if (auto it = members.others.find(pendingObservations[n].name); it != members.others.end())
            observations.push_back(it->second.seen);
    }
    std::erase_if(pendingObservations,
        [most = messagesPerObservation(members)](const PendingObservation& it) { return it.messages >= most; });
    return observations;
}

std::vector<Peer> choosePeers(const Members& members, const PeerCounts& counts, base::Random& random)
{
    std::vector<const Member*> ownDomain;
    std::vector<const Member*> otherDomain;
    std::vector<const Member*> otherRegion;
    for (const auto& [name, member] : members.others) {
        if (hasLeft(member))
            continue;
        if (member.seen.failureDomain == members.self.failureDomain)
            ownDomain.push_back(&member);
        else if (member.seen.region == members.self.region)
            otherDomain.push_back(&member);
        else
            otherRegion.push_back(&member);
    }
    std::vector<Peer> chosen;
    pick(ownDomain, counts.ownDomain, random, chosen);
    // A region of one failure domain reaches the rest of the fleet only through other regions.
    auto missing = counts.otherDomain - std::min(counts.otherDomain, otherDomain.size());
    pick(otherDomain, counts.otherDomain, random, chosen);
    pick(otherRegion, counts.otherRegion + missing, random, chosen);
    return chosen;
}

std::vector<Peer> unansweredPeers(const Members& members, size_t count)
{
    std::vector<Peer> peers;
    for (const auto& [name, member] : members.others) {
        if (peers.size() == count)
            break;
        if (member.unanswered && member.seen.state != HostState::Suspected && !hasLeft(member))
            peers.push_back({ name, member.seen.peerAddress });
    }
    return peers;
}

std::vector<std::string> chooseReaders(const Members& members, std::string_view key)
{
    if (members.listVersion == 0)
        return {};
    std::vector<std::pair<uint64_t, std::string_view>> scores { { base::rendezvousScore(key, members.self.name),
        members.self.name } };
    for (const auto& [name, member] : members.others) {
        auto isUsable = member.seen.state == HostState::Serving || member.seen.state == HostState::Starting;
        if (member.seen.failureDomain == members.self.failureDomain && isUsable && !member.isListedLeaving)
            scores.emplace_back(base::rendezvousScore(key, name), name);
    }
    auto count = std::min(readersPerDomain, scores.size());
    std::ranges::partial_sort(scores, scores.begin() + static_cast<ptrdiff_t>(count), std::greater {});
    std::vector<std::string> readers;
    for (size_t n = 0; n < count; ++n)
        readers.emplace_back(scores[n].second);
    return readers;
}

HostView makeView(const Members& members)
{
    HostView view { members.listVersion, {} };
    view.hosts.reserve(members.others.size() + 1);
    for (const auto& [name, member] : members.others) {
        view.hosts.push_back(member.seen);
        // The list and the host itself may name the departure first; the earlier word counts for new work.
        if (member.isListedLeaving && member.seen.state == HostState::Serving)
            view.hosts.back().state = HostState::Withdrawing;
    }
    view.hosts.insert(
        std::ranges::lower_bound(view.hosts, members.self.name, {}, &HostObservation::name), members.self);
    return view;
}

}
