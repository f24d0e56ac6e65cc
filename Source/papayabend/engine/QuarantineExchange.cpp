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
        if (m_repeatedNotices.size() >= maxRepeatedNotices)
            m_repeatedNotices.pop_front();
        m_repeatedNotices.push_back({ std::move(pending), now + repeatInterval, 0 });
    }
    return actions;
}

void QuarantineExchange::applyReceived(const std::vector<routing::QuarantineNotice>& notices, base::TimePoint now)
{
    std::ranges::for_each(notices, [&](const auto& notice) { m_shared.routing.quarantine.received(notice, now); });
}

Actions QuarantineExchange::tick(base::TimePoint now)
{
    Actions actions;
    std::scoped_lock lock(m_mutex);
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
