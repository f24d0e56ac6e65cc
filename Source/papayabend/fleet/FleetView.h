#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** \enum HostStage
 * \brief Whether a host takes callers.
 */
enum class HostStage : uint8_t {
    Starting,
    Ready,
    Leaving,
};

/** \struct Heartbeat
 * \brief What a host says of itself, directly or through other hosts.
 */
struct Heartbeat {
    std::string name;
    std::string callerAddress; /**< IPv4 address and port for callers. */
    std::string peerAddress; /**< IPv4 address and port for other hosts. */
    std::string failureDomain;
    uint64_t incarnation { 0 }; /**< Start of its process in microseconds of Unix time. */
    uint64_t sequence { 0 }; /**< Grows with each heartbeat of one incarnation. */
    HostStage stage { HostStage::Starting };
    uint64_t configurationVersion { 0 };
    uint64_t contentRevision { 0 }; /**< Newest revision of the store that it has taken. */
    bool isStoreUnreachable { false }; /**< The store does not answer it. */
    uint32_t capacity { 1 }; /**< Processor time that it has, in thousandths of a core. */
    uint32_t load { 0 }; /**< Attempts a second that it sends to upstreams, see LoadEstimate. */
};

/** \struct Member
 * \brief Another host and when it was last heard of.
 */
struct Member {
    Heartbeat heartbeat;
    base::TimePoint lastHeardAt {}; /**< Arrival of the newest sequence, by whatever way. */
};

/** \class FleetView
 * \brief The other hosts of the fleet, as this host hears of them. Not safe for use by several threads.
 */
class FleetView {
public:
    /** Hosts send a heartbeat each 500 ms; four lost ones in a row are taken for a failure. */
    static constexpr base::Duration heartbeatInterval { std::chrono::milliseconds(500) };
    static constexpr base::Duration aliveTime { std::chrono::milliseconds(2200) };
    /** Hosts that a fleet may have for each to send its heartbeats to every other one. */
    static constexpr size_t smallFleet = 16;
    /** Heartbeats from other failure domains of a large fleet come over several hosts. */
    static constexpr base::Duration relayedAliveTime { std::chrono::seconds(8) };
    /** Time after which a silent host is forgotten; a host that restarts or a healed partition is back earlier. */
    static constexpr base::Duration removalTimeout { std::chrono::seconds(30) };

    explicit FleetView(Heartbeat self)
        : m_self(std::move(self))
    {
    }

    Heartbeat& self() { return m_self; }
    const Heartbeat& self() const { return m_self; }

    /** Takes a heartbeat; returns whether it is newer than what is known of the host. */
    bool apply(const Heartbeat& heartbeat, base::TimePoint now);
    /** Drops hosts that have been silent for removalTimeout; returns their names. */
    std::vector<std::string> removeSilentHosts(base::TimePoint now);

    bool isAlive(const Member&, base::TimePoint now) const;
    /** Whether hosts hear each other directly, whatever their failure domain. */
    bool isSmall() const { return m_members.size() < smallFleet; }
    /** This host and all live ones. */
    std::vector<const Heartbeat*> liveHeartbeats(base::TimePoint now) const;
    /** Live hosts including this one. */
    size_t liveHosts(base::TimePoint now) const;
    const std::map<std::string, Member>& members() const { return m_members; }

private:
    Heartbeat m_self;
    std::map<std::string, Member> m_members;
};

}
