#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/HttpMessage.h"
#include "papayabend/routes/Configuration.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace papayabend::gateway {

/** \struct ClientRequest
 * \brief Complete request of a client. The client may leave before it is answered.
 */
struct ClientRequest {
    HttpRequest message;
    base::TimePoint arrivedAt {}; /**< When its last byte was read. */
    std::function<void(const Answer&)> answer; /**< Called once; does nothing after the client has left. */
    std::function<void()> onClientLeft; /**< Set by the handler that needs to know. */
};

/** \class HttpListener
 * \brief Accepts HTTP/1.1 connections on one address and hands over complete requests, on the thread of its loop.
 *
 * Requests of one connection are handled one after the other. Input that is not HTTP, too large or too slow ends its
 * connection with 400, 413, 431 or 408.
 */
class HttpListener {
public:
    using Handler = std::function<void(const std::shared_ptr<ClientRequest>&)>;

    HttpListener(boost::asio::io_context&, Handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /** Listens on \a address; returns false if it cannot be bound. */
    bool start(const std::string& address);
    void setLimits(const routes::ClientLimits&);
    /** From now on each answer ends its connection. */
    void announceClose();
    /** Closes the listening socket and idle connections. */
    void stop();

    size_t openConnections() const;
    /** Requests that have not been answered. */
    size_t openRequests() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
