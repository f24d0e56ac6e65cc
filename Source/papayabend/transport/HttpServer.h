#pragma once

#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace papayabend::transport {

/** \class HttpServer
 * \brief HTTP server whose connections hold a thread only while a complete request is handled.
 *
 * The server loop of cpp-httplib gives each connection a thread until its keep-alive time ends, so as many
 * idle connections as there are threads block every other caller. Here one thread reads all connections into bounded
 * buffers, and a pool of fixed size runs the routes of cpp-httplib on complete requests.
 */
class HttpServer {
public:
    /** Called for each request that is refused before it reaches a route. */
    using Refused = std::function<void(base::RefusalCode)>;

    HttpServer(const settings::HttpServerSettings&, Refused);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Routes are added before start(). */
    httplib::Server& routes();

    /** Listens on \a address (IP address and port); returns false if it cannot be bound. */
    bool start(const std::string& address);
    /** Closes the listening socket; for a short time, each open connection may still send one request and get its
     * response. */
    void stopAccepting();
    /** Ends all connections and waits for running routes. */
    void stop();

    size_t openConnections() const;
    size_t waitingRequests() const;

    /** Returns the arrival time of the last byte of the request that the calling thread handles. */
    static base::TimePoint requestReceived();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/** Returns the JSON body of a refusal. */
std::string refusalBody(const base::Refusal&);

/** Sets status, body and Retry-After of a refusal. */
void writeRefusal(const base::Refusal&, httplib::Response&);

}
