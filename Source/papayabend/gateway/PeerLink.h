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

/** \struct PeerEvents
 * \brief Receivers of what a PeerLink learns.
 */
struct PeerEvents {
    std::function<void(const fleet::HeartbeatMessage&)> received;
    std::function<std::vector<dispatch::CrashNotice>()> crashes; /**< Notices to send along. */
    std::function<void(const std::string& bytes, const std::string& from)> content; /**< Answer to a pull. */
    /** A datagram that is no heartbeat. */
    std::function<void(const std::string& reason, const std::string& from)> refused;
};

/** \class PeerLink
 * \brief Exchanges heartbeats with other hosts as datagrams and pulls their content over HTTP.
 */
class PeerLink {
public:
    /** Beginning of the request target under which a host gives others its content after a revision. */
    static constexpr std::string_view contentTarget = "/content?after=";
    /** Changes up to this size go out with a heartbeat; larger ones are pulled by those who lack them. */
    static constexpr size_t maxPushedBytes = 8 * 1024;

    PeerLink(boost::asio::io_context&, fleet::FleetView&, uint64_t seed, PeerEvents);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    bool start(const std::string& address, std::span<const std::string> seeds);
    /** Sends a heartbeat with \a changes to \a addresses now. */
    void push(std::span<const std::string> addresses, std::string changes);
    /** Sends a heartbeat to one host and tells it of all others, for a host that has just started. */
    void welcome(const std::string& address);
    /** Asks the host at \a address for its content after \a revision, unless a pull is under way. */
    void pull(const std::string& address, uint64_t revision);
    uint64_t sentBytes() const { return m_sentBytes; }
    /** Datagrams that were no heartbeat. */
    uint64_t refusedMessages() const { return m_refusedMessages; }

private:
    void schedule();
    void sendHeartbeats();
    fleet::HeartbeatMessage ownMessage() const;
    void send(const std::string& bytes, const std::string& address);
    void receive();

    boost::asio::io_context& m_io;
    fleet::FleetView& m_fleet;
    base::Random m_random;
    PeerEvents m_events;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::vector<std::string> m_seeds;
    std::array<uint8_t, 65536> m_buffer {};
    std::shared_ptr<HttpConnection> m_pull;
    uint64_t m_rounds { 0 };
    uint64_t m_sentBytes { 0 };
    uint64_t m_refusedMessages { 0 };
};

}
