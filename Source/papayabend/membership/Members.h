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

/** Time without any news of a host that left a probe unanswered, after which it is suspected. */
constexpr base::Duration suspicionTime = std::chrono::seconds(3);
/** Time for which a host that the list has dropped stays in the view after the last news of it. */
constexpr base::Duration holdTime = std::chrono::seconds(30);
/** Interval of announcements by a host that the list does not name. */
constexpr base::Duration announceInterval = std::chrono::seconds(10);
/** Most observations in one message; bounds the traffic when many hosts change at once. */
constexpr size_t maxObservations = 8;

/** \struct Member
 * \brief Another host.
 */
struct Member {
    HostObservation seen; /**< Newest observation; its heartbeat is 0 while only the list names the host. */
    bool isListed { false };
    bool isListedLeaving { false };
    base::TimePoint lastHeardAt {}; /**< When the observation last advanced. */
    std::optional<base::TimePoint> unanswered; /**< First probe without an answer since then. */
    std::optional<base::TimePoint> unlisted; /**< When the list dropped the host. */
};

/** \struct Tombstone
 * \brief Last observation of a removed host; older news of it is ignored.
 */
struct Tombstone {
    uint64_t incarnation { 0 };
    uint64_t heartbeat { 0 };
    base::TimePoint removed {};
};

/** \struct PendingObservation
 * \brief Host whose observation is still to be passed on.
 */
struct PendingObservation {
    std::string name;
    unsigned messages { 0 }; /**< That carried it so far. */
};

/** \struct Members
 * \brief Other hosts as this process knows them, and what it announces of itself.
 */
struct Members {
    HostObservation self;
    bool isSelfListed { false };
    bool isReplaced { false }; /**< A newer process runs under this host's name. */
    uint64_t listVersion { 0 };
    std::map<std::string, Member, std::less<>> others;
    std::unordered_map<std::string, Tombstone> removed;
    std::vector<PendingObservation> pendingObservations;
    base::TimePoint lastAnnouncement {};
    bool isChanged { true }; /**< The view differs from the one last made. */
    uint64_t suspicions { 0 };
    uint64_t removals { 0 };
};

Members makeMembers(const HostIdentity&);

/** Takes a host list that is newer than the last one; returns false if it is not. */
bool applyHostList(Members&, const HostList&, base::TimePoint now);

/** \enum ObservationResult
 * \brief What an observation added to the own knowledge.
 */
enum class ObservationResult : uint8_t {
    Newer, /**< It was taken. */
    Known,
    Older, /**< The own knowledge is newer and the sender should be told. */
};

/** Takes what another host reports. \a isDirect: the host reports of itself. */
ObservationResult applyObservation(Members&, const HostObservation&, bool isDirect, base::TimePoint now);

/** Records that \a name was sent a message that asks for an answer. */
void probeSent(Members&, std::string_view name, base::TimePoint now);

/** Suspects silent hosts, removes hosts that the list has dropped, and announces this host if need be. Called once
 * per period.
 */
void expireMembers(Members&, base::TimePoint now);

/** Restarts all times after a pause of the process, in which no host could be heard. */
void resumeMembers(Members&, base::TimePoint now);

/** Changes what the host announces of itself. */
void setSelfState(Members&, HostState);

/** Returns up to maxObservations observations that are due to be passed on. */
std::vector<HostObservation> takePendingObservations(Members&);

/** \struct PeerCounts
 * \brief Number of peers to choose: of the own failure domain, of other domains of the region, of other regions.
 */
struct PeerCounts {
    size_t ownDomain { 0 };
    size_t otherDomain { 0 };
    size_t otherRegion { 0 };
};

/** \struct Peer
 * \brief Host to send a message to. The name is empty for a seed address that no known host has.
 */
struct Peer {
    std::string name;
    std::string address;
};

/** Chooses random peers that are not known to have left. Suspected hosts may be chosen, because only contact with
 * them ends a suspicion.
 */
std::vector<Peer> choosePeers(const Members&, const PeerCounts&, base::Random&);

/** Returns up to \a count hosts that left a probe unanswered and are not suspected yet, to be asked again, so that a
 * lost message alone does not lead to suspicion.
 */
std::vector<Peer> unansweredPeers(const Members&, size_t count);

/** Returns the two hosts of the own failure domain that watch the value \a key: highest rendezvous scores of the
 * hosts that are neither suspected nor leaving. Empty while no host list is known.
 */
std::vector<std::string> chooseReaders(const Members&, std::string_view key);

/** Makes the view that the request paths read. */
HostView makeView(const Members&);

}
