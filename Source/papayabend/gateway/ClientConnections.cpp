#include "papayabend/gateway/ClientConnections.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    // Of the descriptors, for upstreams, store, hosts and files. At customer A (4,100 descriptors) a host opens up to
    // twice the slots of each upstream, some 1,160 connections.
    constexpr size_t reservedDivisor = 3;
    // A connection takes some 3 KB beside its messages. Where descriptors are plentiful, memory is the bound.
    constexpr size_t maxDefaultTotal = 16'384;
    // Of all connections, for the listeners that are not being flooded.
    constexpr size_t otherListenersDivisor = 8;

    constexpr size_t indexOf(ClientState state) { return static_cast<size_t>(state); }

}

ConnectionBounds connectionBounds(size_t descriptors, size_t reserved, size_t total, size_t perListener)
{
    ConnectionBounds bounds;
    if (reserved == 0)
        reserved = descriptors / reservedDivisor;
    auto available = std::max<size_t>(descriptors - std::min(descriptors, reserved), 1);
    bounds.total = std::min(available, total == 0 ? maxDefaultTotal : total);
    bounds.perListener = perListener == 0 ? bounds.total - bounds.total / otherListenersDivisor : perListener;
    return bounds;
}

size_t ClientConnections::addListener()
{
    m_listeners.emplace_back();
    return m_listeners.size() - 1;
}

bool ClientConnections::makeRoom(size_t listener)
{
    if (m_listeners[listener].count >= m_bounds.perListener)
        return closeOne(m_listeners[listener]);
    if (m_count < m_bounds.total)
        return true;
    std::vector<const Listener*> byCount;
    for (const auto& it : m_listeners)
        byCount.push_back(&it);
    std::ranges::sort(byCount, std::greater(), [](const auto* it) { return it->count; });
    return std::ranges::any_of(byCount, [this](const auto* it) { return closeOne(*it); });
}

bool ClientConnections::closeOne(const Listener& listener)
{
    const auto& ended = listener.byState[indexOf(ClientState::Ended)];
    const auto* chosen = &ended;
    if (ended.empty()) {
        for (auto state : { ClientState::Waiting, ClientState::Idle, ClientState::Receiving }) {
            const auto& places = listener.byState[indexOf(state)];
            if (places.size() > chosen->size())
                chosen = &places;
        }
    }
    if (chosen->empty())
        return false;
    chosen->front()->m_close();
    return true;
}

ClientPlace::ClientPlace(std::shared_ptr<ClientConnections> connections, size_t listener, std::function<void()> close)
    : m_connections(std::move(connections))
    , m_close(std::move(close))
    , m_listener(listener)
{
    auto& places = this->listener().byState[indexOf(m_state)];
    m_position = places.insert(places.end(), this);
    ++this->listener().count;
    ++m_connections->m_count;
}

ClientPlace::~ClientPlace() { leave(); }

void ClientPlace::enter(ClientState state)
{
    if (m_hasLeft || state == m_state)
        return;
    auto& places = listener().byState;
    places[indexOf(state)].splice(places[indexOf(state)].end(), places[indexOf(m_state)], m_position);
    m_state = state;
}

void ClientPlace::leave()
{
    if (m_hasLeft)
        return;
    m_hasLeft = true;
    listener().byState[indexOf(m_state)].erase(m_position);
    --listener().count;
    --m_connections->m_count;
}

}
