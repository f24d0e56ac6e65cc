#include "papayabend/engine/QuarantineExchange.h"

#include "papayabend/engine/ServingHosts.h"

#include <algorithm>
#include <iterator>

namespace papayabend::engine {

namespace {

    // A notice is sent again in case the first message is lost; the second repeat outlives a short partition.
    constexpr base::Duration repeatInterval = std::chrono::seconds(1);
    constexpr uint32_t maxRepeats = 2;

    // Bounds the memory while many requests crash upstreams; the oldest notices are repeated no more.
    constexpr size_t maxRepeatedNotices = 1024;

}

QuarantineExchange::QuarantineExchange(SharedState& shared)
    : m_shared(shared)
{
}

Actions QuarantineExchange::announce(base::TimePoint now)
{
    Actions actions;
    PendingNotice pending;
    while (m_shared.quarantineNotices.try_pop(pending)) {
        send(pending, actions);
        std::scoped_lock lock(m_mutex);
        if (m_sent.size() >= maxRepeatedNotices)
            m_sent.pop_front();
        m_sent.push_back({ std::move(pending), now + repeatInterval, 0 });
    }
    return actions;
}

void QuarantineExchange::received(const std::vector<routing::QuarantineNotice>& notices, base::TimePoint now)
{
    std::ranges::for_each(notices, [&](const auto& notice) { m_shared.routing.quarantine.received(notice, now); });
}

Actions QuarantineExchange::tick(base::TimePoint now)
{
    Actions actions;
    std::scoped_lock lock(m_mutex);
    while (!m_sent.empty() && m_sent.front().repeatAt <= now) {
        auto sent = std::move(m_sent.front());
        m_sent.pop_front();
        send(sent.pending, actions);
        if (++sent.repeats < maxRepeats) {
            sent.repeatAt = now + repeatInterval;
            m_sent.push_back(std::move(sent));
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
