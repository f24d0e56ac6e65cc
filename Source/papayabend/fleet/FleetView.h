#pragma once

#include "papayabend/base/StorePosition.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** \enum HostStage
 * \brief Whether a host is ready for callers.
 */
enum class HostStage : uint8_t {
    Starting,
    Ready,
    Leaving,
};

/** \enum UpstreamReachState
 * \brief Whether a host reaches the upstreams, as far as it can see by itself.
 */
enum class UpstreamReachState : uint8_t {
    Unknown, /**< It has tried few lately, or many do not answer. */
    Reached,
    Lost,
};

/** \struct Heartbeat
 * \brief State of a host as it reports it itself, directly or relayed by other hosts.
 */
struct Heartbeat {
    std::string name;
    std::string callerAddress; /**< IPv4 address and port for callers. */
    std::string peerAddress; /**< IPv4 address and port for other hosts. */
    std::string failureDomain;
    uint64_t incarnation { 0 }; /**< Start time of its process, in microseconds of Unix time. */
    uint64_t sequence { 0 }; /**< Number of the heartbeat within the incarnation. */
    HostStage stage { HostStage::Starting };
    uint64_t configurationVersion { 0 };
    uint64_t contentRevision { 0 }; /**< Revision of the store's content that it has applied. */
    bool isStoreUnreachable { false }; /**< The store has recently failed to answer it. */
    uint32_t capacity { 1 }; /**< Processor time available to it, in thousandths of a core. */
    uint32_t load { 0 }; /**< Attempts per second that it sends to upstreams, see LoadEstimate. */
    uint32_t demand { 0 }; /**< First attempts per second that its callers ask for, also those that it refuses. */
    /** Age of the newest confirmation of the store that it knew of when it sent this, see ContentFreshness. */
    uint32_t storeAgeMs { unknownStoreAge };
    /** Milliseconds since the host saw a change among those that it hears directly, see FleetCalm; 0: not stated. */
    uint32_t changeAgeMs { 0 };
    std::string fanOutRoom; /**< Fan-outs that its sets of shards can bear, see dispatch::encodeNotices(). */
    uint64_t contentEra { 0 }; /**< Era of the store that contentRevision belongs to. */
    UpstreamReachState reach { UpstreamReachState::Unknown };

    /** Hosts of previous versions, and those without a confirmation, state no age. */
    static constexpr uint32_t unknownStoreAge = UINT32_MAX;

    base::StorePosition contentPosition() const { return { contentEra, contentRevision }; }
};

/** \struct Member
 * \brief Another host, with the time of its newest heartbeat.
 */
struct Member {
    Heartbeat heartbeat;
    base::TimePoint lastHeardAt {}; /**< Arrival of its newest heartbeat, direct or relayed. */
};

/** \class FleetView
 * \brief The hosts of the fleet that this host has received heartbeats of. Not safe for use by several threads.
 */
class FleetView {
public:
    /** Interval of the heartbeats of a host. */
    static constexpr base::Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /** Time without a heartbeat after which a host counts as failed: four lost ones in a row. */
    static constexpr base::Duration livenessTimeout { std::chrono::milliseconds(2200) };
    /** Size up to which a fleet is small: each host sends its heartbeats to every other one. */
    static constexpr size_t maxSmallFleet = 16;
    /** Liveness timeout for hosts of other failure domains in a large fleet; their heartbeats are relayed several
     * times. */
    static constexpr base::Duration relayedLivenessTimeout { std::chrono::seconds(8) };
    /** Time after which a silent host is removed; host restarts and partitions as a rule end earlier. */
    static constexpr base::Duration removalTimeout { std::chrono::seconds(30) };

    explicit FleetView(Heartbeat self)
        : m_self(std::move(self))
    {
    }

    Heartbeat& self() { return m_self; }
    const Heartbeat& self() const { return m_self; }
    /** Sets the time of the newest confirmation of the store that this host knows of. */
    void setStoreConfirmedAt(base::TimePoint at) { m_storeConfirmedAt = at; }
    /** Returns the heartbeat of this host as it is to be sent at \a now. */
    Heartbeat ownHeartbeat(base::TimePoint now) const;

    /** Applies a heartbeat; returns whether it is newer than the known one of its host. */
    bool apply(const Heartbeat& heartbeat, base::TimePoint now);
    /** Removes the hosts that have been silent for longer than removalTimeout; returns their names. */
    std::vector<std::string> removeSilentHosts(base::TimePoint now);

    bool isAlive(const Member&, base::TimePoint now) const;
    /** Returns whether the fleet is small, so that hosts send heartbeats directly to those of other failure domains
     * too. */
    bool isSmall() const { return m_members.size() < maxSmallFleet; }
    /** Returns the heartbeats of this host and of all other live ones. */
    std::vector<const Heartbeat*> liveHeartbeats(base::TimePoint now) const;
    /** Returns the number of live hosts including this one. */
    size_t liveHosts(base::TimePoint now) const;
    const std::map<std::string, Member>& members() const { return m_members; }

private:
    Heartbeat m_self;
    base::TimePoint m_storeConfirmedAt {};
    std::map<std::string, Member> m_members;
};

}
