#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace papayabend::gateway {

class ClientPlace;

/** \enum ClientState
 * \brief What a client connection does, as far as it matters for the choice of the one that is closed to make room.
 */
enum class ClientState : uint8_t {
    Ended, /**< Its last answer was written. */
    Waiting, /**< It has not sent a complete request since it was opened, or since it began to send the next one. */
    Idle, /**< It was answered and has sent nothing since. */
    Receiving, /**< Its answer is being written. */
    Handled, /**< Its request is being handled; it is not closed to make room. */
};

constexpr size_t clientStates = 5;

/** \struct ConnectionBounds
 * \brief Largest numbers of client connections that are open at the same time.
 */
struct ConnectionBounds {
    size_t total { SIZE_MAX };
    size_t perListener { SIZE_MAX };
};

/** Returns the bounds for a process that may have \a descriptors open.
 *
 * A value of 0 stands for the default of docs/OPERATIONS.md.
 */
ConnectionBounds connectionBounds(size_t descriptors, size_t reserved, size_t total, size_t perListener);

/** \class ClientConnections
 * \brief The client connections of all listeners of a host; chooses which one is closed to make room for a new one.
 *
 * Clients that take all descriptors of the process would leave none for ordinary callers, upstreams, the store and
 * hosts. Used only on one thread.
 */
class ClientConnections {
public:
    /** Returns the number of a new listener. */
    size_t addListener();
    void setBounds(const ConnectionBounds& bounds) { m_bounds = bounds; }
    /** Makes room for one more connection at \a listener, by closing another one if necessary; returns false if there
     * is none that may be closed.
     *
     * If the listener is at its own bound, one of its connections is closed, otherwise one of the listener that has the
     * most. There the state that most connections are in is chosen, and in it the connection that is in it longest:
     * one group of clients then pushes out its own connections first. */
    bool makeRoom(size_t listener);
    size_t count() const { return m_count; }

private:
    friend class ClientPlace;
    using Places = std::list<ClientPlace*>;

    struct Listener {
        std::array<Places, clientStates> byState; // each in the order in which the state was entered
        size_t count { 0 };
    };

    /** Closes one connection of a listener; returns false if all are being handled. */
    bool closeOne(const Listener&);

    ConnectionBounds m_bounds;
    std::vector<Listener> m_listeners;
    size_t m_count { 0 };
};

/** \class ClientPlace
 * \brief The place of one connection among the others.
 */
class ClientPlace {
public:
    /** \a close: closes the connection to make room for another one; destroys or leaves this place. */
    ClientPlace(std::shared_ptr<ClientConnections>, size_t listener, std::function<void()> close);
    ~ClientPlace();
    ClientPlace(const ClientPlace&) = delete;
    ClientPlace& operator=(const ClientPlace&) = delete;

    void enter(ClientState);
    /** Frees the place when the connection was closed. */
    void leave();

private:
    friend class ClientConnections;

    ClientConnections::Listener& listener() { return m_connections->m_listeners[m_listener]; }

    std::shared_ptr<ClientConnections> m_connections;
    std::function<void()> m_close;
    ClientConnections::Places::iterator m_position;
    size_t m_listener;
    ClientState m_state { ClientState::Waiting };
    bool m_hasLeft { false };
};

}
