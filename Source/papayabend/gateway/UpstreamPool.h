#pragma once

#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/ChooseUpstream.h"
#include "papayabend/dispatch/ConnectionChoice.h"
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
 * \brief Counts of connections to upstreams and of attempts since the process started.
 */
struct PoolCounters {
    uint64_t connectionsOpened { 0 }; /**< Connections that were begun, also those that failed. */
    uint64_t connectionsFailed { 0 };
    uint64_t attempts { 0 }; /**< Attempts that were sent. */
    uint64_t attemptsLost { 0 }; /**< Sent attempts that ended without an answer. */
};

/** \class UpstreamPool
 * \brief Connections and queued attempts of each upstream, and its load as this host has observed it.
 *
 * Not thread-safe: used only on the thread of its io_context.
 */
class UpstreamPool {
public:
    /** \a idName: header field with the request id, which upstreams echo. \a faults: see HttpConnection. \a buffers:
     * shared with connections of other kinds. */
    UpstreamPool(boost::asio::io_context&, std::string idName, std::shared_ptr<MessageFaults> faults = nullptr,
        std::shared_ptr<BufferBudget> buffers = nullptr);

    /** Returns the load of an upstream; created at the first use. */
    dispatch::UpstreamLoad& load(std::string_view id);

    /** Sets how many connections this host may have to the upstream. \a isReserved: the upstream accepts that many from
     * every serving host of the fleet at the same time. */
    void setMaxConnections(std::string_view id, uint32_t count, bool isReserved = true);

    /** Queues the attempt; attempts are sent in the order of submission as connections to \a record become free. */
    void submit(const discovery::UpstreamRecord& record, const std::shared_ptr<Attempt>&);

    /** Opens one connection if there are fewer than \a count. */
    void warm(const discovery::UpstreamRecord& record, uint32_t count);

    /** Opens a connection to find out whether the upstream still runs; \a alive is called if it accepts one. Does
     * nothing if no connection may be opened now. */
    void probe(std::string_view id, const std::function<void()>& alive);

    /** Opens a connection to find out whether the upstream is reached, unless none may be opened now. */
    void tryConnect(const discovery::UpstreamRecord&);

    /** Counts the upstreams that were tried lately. */
    dispatch::ReachCounts reachCounts(base::TimePoint now) const;

    /** Ends an attempt: an unsent one is removed from the queue, the connection of a sent one is closed. */
    void cancel(const std::shared_ptr<Attempt>&, std::string_view reason);

    /** Ends the attempts that wait for a connection to the upstream as withheld. \a reason: see
     * CallResult::isWithheld. */
    void rejectWaiting(std::string_view id, const std::string& reason);

    /** The same for each upstream for which \a reasonAgainst returns a reason. */
    void rejectWaiting(const std::function<std::string(const std::string& id)>& reasonAgainst);

    /** Closes idle connections that have reached their idle limit, and, after a shorter idle time, those that exceed
     * \a keptIdle connections per upstream. */
    void sweep(size_t keptIdle, base::TimePoint now);

    /** Closes idle connections to upstreams that are gone, and removes upstreams that \a directory no longer has. */
    void retain(const discovery::UpstreamDirectory&);

    const PoolCounters& counters() const { return m_counters; }
    size_t openConnections() const;
    /** Returns for how many upstreams \a matches returns true. */
    size_t countLoads(const std::function<bool(const dispatch::UpstreamLoad&)>& matches) const;

private:
    struct Upstream {
        std::string id;
        std::string address;
        dispatch::UpstreamLoad load;
        std::vector<std::shared_ptr<HttpConnection>> connections;
        std::deque<std::shared_ptr<Attempt>> queue;
        uint32_t connecting { 0 }; /**< Connections that are being opened. */
        /** The upstream accepts this host's connections unless other hosts exceed their share. */
        bool isReserved { true };
    };

    Upstream& upstream(std::string_view id);
    Upstream* find(std::string_view id);
    /** Sets the address; closes the connections if it has changed. */
    void updateAddress(Upstream&, const discovery::UpstreamRecord&);
    /** \a accepted: called once the upstream has accepted the connection; may be empty. */
    void connect(Upstream&, const std::function<void()>& accepted = {});
    void connectEnded(const std::string& id, const std::shared_ptr<HttpConnection>&, const std::string& problem);
    /** Waits for the time in which an upstream at its connection limit resets a new connection. */
    void awaitReset(
        const std::string& id, const std::shared_ptr<HttpConnection>&, const std::function<void()>& accepted);
    /** Sends queued attempts on idle connections and opens a connection for those that remain. */
    void serveQueue(Upstream&);
    /** Returns the idle connection on which to send the attempt, if any. */
    std::shared_ptr<HttpConnection> idleConnectionFor(const Upstream&, const Attempt&);
    /** Ends the attempt as not sent and returns true if it may no longer be sent. */
    static bool withhold(const std::shared_ptr<Attempt>&);
    void sendAttempt(Upstream&, const std::shared_ptr<HttpConnection>&, const std::shared_ptr<Attempt>&);
    void attemptEnded(const std::string& id, const std::shared_ptr<Attempt>&, CallResult);
    /** Ends all queued attempts as NotSent. \a isWithheld: see CallResult. */
    void failQueue(Upstream&, const std::string& problem, bool isWithheld = false);
    static void endAttempt(const std::shared_ptr<Attempt>&, CallResult);
    /** Removes closed connections and updates the counts in the load. */
    static void refreshCounts(Upstream&);
    /** Records that the upstream has ended a connection before it answered any request on it. */
    void recordRefusedConnection(Upstream&, const HttpConnection&);
    static bool mayConnect(const Upstream&);

    boost::asio::io_context& m_io;
    std::string m_idName;
    std::map<std::string, std::unique_ptr<Upstream>, std::less<>> m_upstreams;
    PoolCounters m_counters;
    std::shared_ptr<MessageFaults> m_faults;
    std::shared_ptr<BufferBudget> m_buffers;
};

}
