#pragma once

#include "papayabend/base/Published.h"
#include "papayabend/base/Random.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/dissemination/ReadPlan.h"
#include "papayabend/dissemination/StoredValue.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/membership/Lifecycle.h"
#include "papayabend/membership/Members.h"
#include "papayabend/membership/PauseDetector.h"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::engine {

/** \enum ReadStatus
 * \brief How a read of the platform ended.
 */
enum class ReadStatus : uint8_t {
    Value,
    Unchanged, /**< The platform has no newer version. */
    Failed,
};

/** \struct Readiness
 * \brief Whether the host may serve and, if not, the reason.
 */
struct Readiness {
    bool canServe { false };
    base::RefusalCode code { base::RefusalCode::NotReady }; /**< Code of refusals while canServe is false. */
    std::string reason; /**< Empty if canServe is true. */

    bool operator==(const Readiness&) const = default;
};

/** \struct ControlCounters
 * \brief Counts since the start of the process.
 */
struct ControlCounters {
    uint64_t messagesSent { 0 };
    uint64_t platformReads { 0 };
    uint64_t wholeValuesSent { 0 };
    uint64_t referrals { 0 }; /**< Requests for a whole value that were referred to hosts which received it. */
    uint64_t deltasRejected { 0 }; /**< Messages whose deltas could not be applied. */
    uint64_t conflicts { 0 }; /**< Offers with the version number in force and other content. */
    uint64_t invalidValues { 0 };
    uint64_t staleOffers { 0 }; /**< Offers of a version older than the one in force. */
    uint64_t pauses { 0 };
    uint64_t suspicions { 0 };
    uint64_t removals { 0 };
};

/** \class ControlPath
 * \brief Maintains the published values and the host view by reads from the platform and exchange with peers.
 * Thread-safe.
 */
class ControlPath {
public:
    explicit ControlPath(SharedState&);

    /** Handles a value read from the platform. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);
    Actions hostListPublished(std::string_view text, base::TimePoint now);
    Actions platformReadEnded(std::string_view key, ReadStatus, base::TimePoint now);
    Actions peerMessage(const PeerMessage&, base::TimePoint now);
    Actions tick(base::TimePoint now);

    /** Advances the process to a later stage and announces it; does nothing if the stage is not later. */
    Actions advance(membership::Lifecycle, base::TimePoint now);
    /** Sets the share of the host's capacity in use that is announced to peers. */
    void setLoad(double load);

    /** Returns whether the host may accept new work and send it to upstreams. Also detects a pause of the process that
     * has just ended.
     */
    Readiness readiness(base::TimePoint now) const;
    ControlCounters counters() const;

private:
    // Newest version announced by peers that this host does not have.
    struct AnnouncedVersion {
        uint64_t version { 0 };
        std::vector<std::string> holders; // addresses of the peers that announced it
        base::TimePoint retryAt {};
        base::TimePoint since {}; // first announcement
    };

    struct Value {
        dissemination::StoredValue stored;
        dissemination::ReadPlan plan;
        AnnouncedVersion announced;
        bool wasNewVersion { false }; // the last read from the platform returned a newer version
        bool isReader { false }; // this host watches the value for its failure domain
    };

    enum class Origin : uint8_t { Platform, Peer };

    Value* findValue(std::string_view key);
    void start(base::TimePoint now);
    // Detects a pause of the process that has ended, and starts to refresh the view.
    void checkForPause(base::TimePoint now, Actions&);
    // Expires silent hosts and probes random peers.
    void runPeriod(base::TimePoint now, Actions&);
    // Requests announced versions and, until the host has joined or refreshed its view, probes peers.
    void requestUpdates(base::TimePoint now, Actions&);
    void readPlatform(base::TimePoint now, Actions&);
    void publishView(base::TimePoint now);

    void handleOffer(Value&, dissemination::OfferedValue&&, Origin, base::TimePoint now, Actions&);
    // Parses a text and publishes the value if it is newer. Returns whether the text is valid and sets the version that
    // it contains.
    bool validateAndApply(Value&, const std::string& text, base::TimePoint now, uint64_t& version, base::LastReason&);
    void pushToPeers(const Value&, Actions&);

    void applyDeltas(const PeerMessage&, base::TimePoint now, Actions&);
    void handleDigests(const PeerMessage&, PeerMessage& answer, base::TimePoint now, Actions&);
    void answerValueRequests(const PeerMessage&, PeerMessage& answer);
    void handleProbeAnswer(const PeerMessage&, base::TimePoint now);
    // Returns whether peers announced a newer table or catalogue than the one in force.
    bool isBehindPeers() const;

    PeerMessage makeMessage() const;
    void probe(const std::vector<membership::Peer>&, base::TimePoint now, Actions&);
    void send(const std::string& address, PeerMessage, Actions&);
    std::vector<membership::Peer> chooseSeeds(size_t count);
    void updateReadiness(base::TimePoint now, Actions&);
    Readiness computeReadiness() const;

    mutable std::mutex m_mutex;
    SharedState& m_shared;
    base::Random m_random;
    membership::Members m_members;
    std::array<Value, 3> m_values;
    mutable membership::PauseDetector m_pauses;
    membership::Lifecycle m_lifecycle { membership::Lifecycle::Starting };
    base::Published<Readiness> m_readiness;
    ControlCounters m_counters;

    std::atomic<bool> m_isStarted { false };
    bool m_hasJoined { false }; // has table and catalogue, compared with peers unless joinTimeout passed
    bool m_hasPeerAnswered { false }; // a peer that has table and catalogue has answered a probe
    base::TimePoint m_startedAt {};
    base::TimePoint m_nextPeriod {};
    base::TimePoint m_nextProbe {};
    base::Duration m_probeInterval {};
    base::TimePoint m_lastPeerAnswer {};
    base::TimePoint m_viewPublishedAt {};
    uint64_t m_periodCount { 0 };
    uint64_t m_lastProbe { 0 };
    double m_wholeValueTokens { 0 };
    base::TimePoint m_tokensUpdatedAt {};
    std::deque<membership::HostObservation> m_wholeValueReceivers; // newest first
    std::vector<std::string> m_peersAwaitingValues; // addresses of peers to notify of the next new value

    // State of the refresh after a pause; the arrays are indexed like m_values, without the host list.
    uint64_t m_handledPauses { 0 };
    uint64_t m_firstProbeAfterResume { 0 };
    base::TimePoint m_resumedAt {};
    std::array<uint64_t, 2> m_readsAtResume {};
    std::array<bool, 2> m_isConfirmedSinceResume {};
};

}
