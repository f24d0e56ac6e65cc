#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/fleet/FleetView.h"
#include "papayabend/fleet/HeartbeatCodec.h"
#include "papayabend/gateway/HttpCall.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::gateway {

/** \struct PullResult
 * \brief Outcome of a request for the content of another host.
 */
struct PullResult {
    std::string from; /**< Peer address of the other host. */
    std::string problem; /**< Why there is no content; empty on success. */
    std::string content;
    bool isBusy { false }; /**< The other host has refused, since it sends its content to enough hosts already. */
    std::vector<std::string> referrals; /**< Peer addresses of hosts that a busy host has named instead. */
    uint64_t receivedBytes { 0 };
    base::Duration duration { 0 };
};

/** \struct PeerEvents
 * \brief Callbacks of a PeerLink.
 */
struct PeerEvents {
    std::function<void(const fleet::HeartbeatMessage&)> messageReceived;
    /** Returns the notices on requests that crash upstreams, to send with a heartbeat. */
    std::function<std::vector<dispatch::CrashNotice>(bool toNewHost)> crashNotices;
    /** Returns what is known of the limits of upstreams, to send with a heartbeat. */
    std::function<std::vector<dispatch::LimitNotice>()> limitNotices;
    /** A pull has ended. */
    std::function<void(const PullResult&)> pullEnded;
    /** A datagram that cannot be decoded. */
    std::function<void(const std::string& reason, const std::string& from)> messageRefused;
};

/** \class PeerLink
 * \brief Exchanges heartbeats with other hosts in UDP datagrams and pulls their content over HTTP.
 */
class PeerLink {
public:
    /** Start of the request target at which a host serves its content to other hosts. */
    static constexpr std::string_view contentTarget = "/content?after=";
    /** Returns the request target for the changes after \a position. */
    static std::string contentTargetAfter(base::StorePosition position);
    /** Returns the position in a target that begins with contentTarget, or nothing if it cannot be read. */
    static std::optional<base::StorePosition> parseContentTarget(std::string_view target);
    /** Header field in which a host that pulls states its peer address. */
    static constexpr std::string_view pullerField = "Peer-Address";
    /** Changes up to this size are sent with a heartbeat; hosts that lack larger ones pull them. */
    static constexpr size_t maxPushedBytes = 8 * 1024;

    /** \a faults: counts the exceptions that messages of other hosts cause; nullptr if they are not to be counted.
     * \a buffers: shared with other connections. */
    PeerLink(boost::asio::io_context&, fleet::FleetView&, uint64_t seed, PeerEvents,
        std::shared_ptr<MessageFaults> faults = nullptr, std::shared_ptr<BufferBudget> buffers = nullptr);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Binds \a address and starts to send and receive heartbeats. Returns false if \a address cannot be used. */
    bool start(const std::string& address, std::span<const std::string> seeds);
    /** Sends a heartbeat to \a addresses immediately, with \a changes unless they exceed maxPushedBytes. */
    void push(std::span<const std::string> addresses, std::string changes);
    /** Sends a heartbeat with those of the other live hosts to a host that has just started. */
    void sendKnownHosts(const std::string& address);
    /** Requests the changes after \a position from the host at \a address, unless a pull is in progress. */
    void pull(const std::string& address, base::StorePosition position);
    bool isPulling() const { return m_pullConnection != nullptr; }
    /** Returns the body of the answer to a pull that is refused, which names \a referrals. */
    static std::string busyAnswer(std::span<const std::string> referrals);
    uint64_t sentBytes() const { return m_sentBytes; }
    /** Number of datagrams that could not be decoded. */
    uint64_t refusedMessages() const { return m_refusedMessages; }

private:
    void schedule();
    void sendHeartbeats();
    fleet::HeartbeatMessage ownMessage(bool toNewHost = false) const;
    void send(const std::string& bytes, const std::string& address);
    void receive();
    void handleDatagram(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint& from);
    /** Ends the pull if it makes no progress, or takes too long in all. */
    void watchPull(
        const std::shared_ptr<boost::asio::steady_timer>&, base::TimePoint startedAt, uint64_t receivedBytes);
    /** Closes the connection of the pull and reports its result. */
    void endPull(PullResult);

    boost::asio::io_context& m_io;
    fleet::FleetView& m_fleet;
    base::Random m_random;
    PeerEvents m_events;
    std::shared_ptr<MessageFaults> m_faults;
    std::shared_ptr<BufferBudget> m_buffers;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::vector<std::string> m_seeds;
    std::array<uint8_t, 65536> m_buffer {};
    std::shared_ptr<HttpConnection> m_pullConnection;
    uint64_t m_rounds { 0 };
    uint64_t m_sentBytes { 0 };
    uint64_t m_refusedMessages { 0 };
};

}
