#pragma once

#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/ChooseUpstream.h"
#include "papayabend/gateway/Attempt.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \struct PoolCounters
 * \brief Events of the connections to upstreams since the start.
 */
struct PoolCounters {
    uint64_t connectionsOpened { 0 };
    uint64_t connectionsFailed { 0 };
    uint64_t attempts { 0 };
    uint64_t attemptsLost { 0 };
};

/** \class UpstreamPool
 * \brief Connections to upstreams, and what this host has seen of each. Used on the thread of its loop.
 */
class UpstreamPool {
public:
    /** \a idName: header field that upstreams echo. */
    UpstreamPool(boost::asio::io_context&, std::string idName);

    /** State of an upstream; created at the first use. */
    dispatch::UpstreamLoad& load(std::string_view id);

    /** Connections that this host may have to the upstream. \a isReserved: it accepts as many from all such hosts. */
    void setMaxConnections(std::string_view id, uint32_t count, bool isReserved = true);

    /** Sends the attempt as soon as a connection to \a record is free, oldest attempt first. */
    void submit(const discovery::UpstreamRecord& record, const std::shared_ptr<Attempt>&);

    /** Opens connections until \a count are there. */
    void warm(const discovery::UpstreamRecord& record, uint32_t count);

    /** Ends an attempt: one that was not sent leaves the queue, one that was sent loses its connection. */
    void cancel(const std::shared_ptr<Attempt>&, std::string_view reason);

    /** Closes idle connections that the peer is about to close, and those beyond \a keptIdle an upstream after a while.
     */
    void sweep(size_t keptIdle, base::TimePoint now);

    /** Closes what belongs to upstreams that are no longer there. */
    void retain(const discovery::UpstreamDirectory&);

    const PoolCounters& counters() const { return m_counters; }
    size_t openConnections() const;

private:
    struct Upstream {
        std::string id;
        std::string address;
        dispatch::UpstreamLoad load;
        std::vector<std::shared_ptr<HttpConnection>> connections;
        std::deque<std::shared_ptr<Attempt>> queue;
        uint32_t connecting { 0 };
        bool isReserved {
            true
        }; /**< It has room for this host's connections unless others hold more than their part. */
    };

    Upstream& upstream(std::string_view id);
    Upstream* find(std::string_view id);
    void use(Upstream&, const discovery::UpstreamRecord&);
    void connect(Upstream&);
    void connected(const std::string& id, const std::shared_ptr<HttpConnection>&, const std::string& problem);
    /** Waits for a moment in which an upstream at its bound resets the connection. */
    void settle(const std::string& id, const std::shared_ptr<HttpConnection>&);
    void serveQueue(Upstream&);
    std::shared_ptr<HttpConnection> idleConnection(Upstream&, bool fresh);
    void start(Upstream&, const std::shared_ptr<HttpConnection>&, const std::shared_ptr<Attempt>&);
    void ended(const std::string& id, const std::shared_ptr<Attempt>&, CallResult);
    void failQueue(Upstream&, const std::string& problem);
    static void endAttempt(const std::shared_ptr<Attempt>&, CallResult);
    static void refreshCounts(Upstream&);
    /** Notes a connection that the upstream has ended before it answered anything on it. */
    void noteRefused(Upstream&, const HttpConnection&);
    static bool mayConnect(const Upstream&);

    boost::asio::io_context& m_io;
    std::string m_idName;
    std::map<std::string, std::unique_ptr<Upstream>, std::less<>> m_upstreams;
    PoolCounters m_counters;
};

}
