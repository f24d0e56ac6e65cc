#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/membership/HostList.h"
#include "papayabend/membership/HostView.h"
#include "papayabend/membership/Observation.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::membership {

/** Time from an unanswered probe until the host is suspected, if no observation of it arrives. */
constexpr base::Duration suspicionTime = std::chrono::seconds(3);
/** Time for which a host that is no longer in the list stays in the view. Counted from the later of its removal from
 * the list and the last observation of it.
 */
constexpr base::Duration holdTime = std::chrono::seconds(30);
/** Interval at which a host that is not in the host list announces itself. */
constexpr base::Duration announceInterval = std::chrono::seconds(10);
/** Maximum number of observations in one message; bounds the traffic when many hosts change at once. */
constexpr size_t maxObservations = 8;

/** \struct Member
 * \brief State that this process keeps about another host.
 */
struct Member {
    HostObservation seen; /**< Newest observation; its heartbeat is 0 while the host is known only from the list. */
    bool isListed { false };
    bool isListedLeaving { false };
    base::TimePoint lastHeardAt {}; /**< Time of the last sign of life: a newer observation, or a direct answer. */
    std::optional<base::TimePoint>
        unansweredSince; /**< Time of the first probe since lastHeardAt; none: no probe is unanswered. */
    std::optional<base::TimePoint> unlistedSince; /**< Since when the host is not in the list; none: listed. */
};

/** \struct Tombstone
 * \brief Last observation of a removed host. Observations that are not newer are ignored.
 */
struct Tombstone {
    uint64_t incarnation { 0 };
    uint64_t heartbeat { 0 };
    base::TimePoint removedAt {};
};

/** \struct PendingObservation
 * \brief Host whose newest observation is still to be sent to peers.
 */
struct PendingObservation {
    std::string name;
    unsigned timesSent { 0 }; /**< Messages that have carried the observation so far. */
};

/** \struct Members
 * \brief Known state of the other hosts, and the state that this host announces.
 */
struct Members {
    HostObservation self;
    bool isSelfListed { false };
    bool isReplaced { false }; /**< A process with a higher incarnation runs under this host's name. */
    uint64_t listVersion { 0 };
    std::map<std::string, Member, std::less<>> others;
    std::unordered_map<std::string, Tombstone> tombstones;
    std::vector<PendingObservation> pendingObservations;
    base::TimePoint lastAnnouncement {};
    bool isChanged { true }; /**< The last view made is out of date. */
    uint64_t suspicions { 0 };
    uint64_t removals { 0 };
};

Members makeMembers(const HostIdentity&);

/** Applies a host list. Returns false and changes nothing if its version is not newer than that of the last one. */
bool applyHostList(Members&, const HostList&, base::TimePoint now);

/** \enum ObservationResult
 * \brief Result of comparing a received observation with the state of this process.
 */
enum class ObservationResult : uint8_t {
    Newer, /**< The observation is newer and was applied. */
    Known, /**< The observation is ignored or adds nothing. */
    Older, /**< This process has newer information, which the sender should receive. */
};

/** Applies a received observation. \a isDirect: the observed host itself sent it. */
ObservationResult applyObservation(Members&, const HostObservation&, bool isDirect, base::TimePoint now);

/** Records that a message that requires an answer was sent to \a name. */
void probeSent(Members&, std::string_view name, base::TimePoint now);

/** Suspects hosts that left probes unanswered, removes hosts that are no longer in the list, and announces this host
 * if the list does not contain it. Called once per period.
 */
void expireMembers(Members&, base::TimePoint now);

/** Restarts all timeouts after a pause of this process, during which it could not receive observations. */
void resumeMembers(Members&, base::TimePoint now);

/** Changes the state that this host announces. */
void setSelfState(Members&, HostState);

/** Returns up to maxObservations pending observations for the next message, those sent least often first. An
 * observation that has been sent often enough is no longer pending.
 */
std::vector<HostObservation> takePendingObservations(Members&);

/** \struct PeerCounts
 * \brief Number of peers to choose from the own failure domain, from other domains of the region, and from other
 * regions.
 */
struct PeerCounts {
    size_t ownDomain { 0 };
    size_t otherDomain { 0 };
    size_t otherRegion { 0 };
};

/** \struct Peer
 * \brief Destination of a message. The name is empty for a seed address that belongs to no known host.
 */
struct Peer {
    std::string name;
    std::string address;
};

/** Chooses random peers that are not known to have left. Suspected hosts may be chosen, because only contact with
 * them ends a suspicion.
 */
std::vector<Peer> choosePeers(const Members&, const PeerCounts&, base::Random&);

/** Returns up to \a count hosts that left a probe unanswered and are not suspected yet. They are probed again, so that
 * a single lost message does not lead to suspicion.
 */
std::vector<Peer> unansweredPeers(const Members&, size_t count);

/** Returns the two hosts of the own failure domain that watch the value \a key: those with the highest rendezvous
 * scores among the hosts that are neither suspected nor leaving. Empty while no host list is known.
 */
std::vector<std::string> chooseReaders(const Members&, std::string_view key);

/** Builds the view that the request paths read. */
HostView makeView(const Members&);

}
