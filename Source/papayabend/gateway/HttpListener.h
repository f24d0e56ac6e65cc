#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/dispatch/ReturnTime.h"
#include "papayabend/gateway/BufferBudget.h"
#include "papayabend/gateway/ClientGuard.h"
#include "papayabend/gateway/HttpMessage.h"
#include "papayabend/gateway/MessageFaults.h"
#include "papayabend/routes/Configuration.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace papayabend::gateway {

/** \struct ClientRequest
 * \brief Complete request of a client. The client may disconnect before it is answered.
 */
struct ClientRequest {
    HttpRequest message;
    std::shared_ptr<BufferHold> hold; /**< Of the bytes of the message. */
    base::TimePoint arrivedAt {}; /**< When the last byte of the request was read. */
    dispatch::CallerPath path; /**< Of the connection on which it came. */
    std::function<void(const Answer&)> answer; /**< Call it once; it does nothing after the client has disconnected. */
    std::function<void()> onClientLeft; /**< Set by the handler; called if the client disconnects unanswered. */
};

/** \class HttpListener
 * \brief Accepts HTTP/1.1 connections on one address and calls a handler with each complete request.
 *
 * Not thread-safe: used only on the thread of its io_context. Requests of one connection are handled one after the
 * other. A request that is not valid HTTP (400), too large (413, 431) or too slow (408) is refused with this status,
 * and its connection is closed; likewise one that this host has no memory for (503). Connections beyond the bounds of
 * the guard take the place of others (ClientConnections).
 */
class HttpListener {
public:
    using Handler = std::function<void(const std::shared_ptr<ClientRequest>&)>;

    /** \a faults: counts the exceptions that requests cause, each of which closes the connection; nullptr if they are
     * not to be counted. \a buffers: shared with other connections; nullptr if each connection has only its own bounds.
     * \a guard: bounds that several listeners share; nullptr if this one has its own.
     */
    HttpListener(boost::asio::io_context&, Handler, std::shared_ptr<MessageFaults> faults = nullptr,
        std::shared_ptr<BufferBudget> buffers = nullptr, std::shared_ptr<ClientGuard> guard = nullptr);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /** Listens on \a address; returns false if it is not valid or cannot be bound. */
    bool start(const std::string& address);
    void setLimits(const routes::ClientLimits&);
    /** From now on each answer states "Connection: close" and its connection is closed. */
    void announceClose();
    /** Closes the listening socket and idle connections. */
    void stop();

    size_t openConnections() const;
    /** Returns the number of requests that have not been answered. */
    size_t openRequests() const;
    /** Returns the number of connections with a request that is being received or handled, or with an answer that the
     * client has not received completely. */
    size_t busyConnections() const;
    /** Answers requests that have been received in part with 503 and closes their connections. */
    void refuseIncompleteRequests(const std::string& reason);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
