#include "papayabend/engine/QuarantineExchange.h"

#include "papayabend/engine/ServingHosts.h"

#include <algorithm>
#include <iterator>

namespace papayabend::engine {

namespace {

    // A notice is repeated in case a message is lost; the second repeat also covers a short partition.
    constexpr base::Duration repeatInterval = std::chrono::seconds(1);
    constexpr uint32_t maxRepeats = 2;

    // Bounds the memory when many requests crash upstreams; beyond it the oldest notices are no longer repeated.
    constexpr size_t maxRepeatedNotices = 1024;

    // Of a notice from the network, so that its end can be computed: a day.
    constexpr uint64_t maxValidityUs = 86'400'000'000;

    bool isReachable(const membership::HostObservation& host)
    {
        return host.state != membership::HostState::Suspected && host.state != membership::HostState::Gone;
    }

}

QuarantineExchange::QuarantineExchange(SharedState& shared)
    : m_shared(shared)
{
}

Actions QuarantineExchange::sendPending(base::TimePoint now)
{
    Actions actions;
    PendingNotice pending;
    while (m_shared.quarantineNotices.try_pop(pending)) {
        send(pending, actions);
        std::scoped_lock lock(m_mutex);
        hold(pending, now);
        if (m_repeatedNotices.size() >= maxRepeatedNotices)
            m_repeatedNotices.pop_front();
        m_repeatedNotices.push_back({ std::move(pending), now + repeatInterval, 0 });
    }
    return actions;
}

void QuarantineExchange::applyReceived(const std::vector<routing::QuarantineNotice>& notices, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    for (const auto& notice : notices) {
        m_shared.routing.quarantine.received(notice, now);
        hold({ {}, notice }, now);
    }
}

Actions QuarantineExchange::tick(base::TimePoint now)
{
    Actions actions;
    std::scoped_lock lock(m_mutex);
    tellNewHosts(actions, now);
    while (!m_repeatedNotices.empty() && m_repeatedNotices.front().repeatAt <= now) {
        auto repeated = std::move(m_repeatedNotices.front());
        m_repeatedNotices.pop_front();
        send(repeated.notice, actions);
        if (++repeated.repeats < maxRepeats) {
            repeated.repeatAt = now + repeatInterval;
            m_repeatedNotices.push_back(std::move(repeated));
        }
    }
    return actions;
}

void QuarantineExchange::hold(const PendingNotice& pending, base::TimePoint now)
{
    std::erase_if(m_heldNotices, [now](const auto& it) { return now >= it.second.expiresAt; });
    const auto& notice = pending.notice;
    auto it = m_heldNotices.find(notice.fingerprint);
    auto isKnown = it != m_heldNotices.end();
    if (isKnown ? it->second.notice.notice.isQuarantined && !notice.isQuarantined
                : m_heldNotices.size() >= maxRepeatedNotices)
        return;
    auto validity = base::Duration(static_cast<int64_t>(std::min(notice.validityUs, maxValidityUs)));
    m_heldNotices.insert_or_assign(notice.fingerprint, HeldNotice { pending, now + validity });
}

std::vector<membership::HostObservation> QuarantineExchange::takeNewHosts()
{
    std::vector<membership::HostObservation> newHosts;
    std::map<std::string, uint64_t> reachable;
    for (const auto& host : m_shared.hostView.load()->hosts) {
        if (host.name == m_shared.identity.name || !isReachable(host))
            continue;
        reachable.emplace(host.name, host.incarnation);
        auto it = m_reachableHosts.find(host.name);
        if (it == m_reachableHosts.end() || it->second != host.incarnation)
            newHosts.push_back(host);
    }
    m_reachableHosts = std::move(reachable);
    return newHosts;
}

void QuarantineExchange::tellNewHosts(Actions& actions, base::TimePoint now)
{
    auto newHosts = takeNewHosts();
    std::erase_if(m_heldNotices, [now](const auto& it) { return now >= it.second.expiresAt; });
    auto view = m_shared.hostView.load();
    const auto* self = membership::findHost(*view, m_shared.identity.name);
    if (!self || m_heldNotices.empty())
        return;
    for (const auto& host : newHosts) {
        PeerMessage message;
        message.sender = *self;
        for (const auto& [fingerprint, held] : m_heldNotices) {
            message.quarantine.push_back(held.notice.notice);
            message.quarantine.back().validityUs = static_cast<uint64_t>((held.expiresAt - now).count());
        }
        actions.emplace_back(SendPeerMessage { host.peerAddress, std::move(message) });
    }
}

void QuarantineExchange::send(const PendingNotice& pending, Actions& actions) const
{
    auto view = m_shared.hostView.load();
    const auto* self = membership::findHost(*view, m_shared.identity.name);
    if (!self)
        return;
    PeerMessage message;
    message.sender = *self;
    message.quarantine = { pending.notice };
    for (const auto& host : servingHosts(m_shared, pending.service)) {
        if (host.name != m_shared.identity.name)
            actions.emplace_back(SendPeerMessage { host.peerAddress, message });
    }
}

}
