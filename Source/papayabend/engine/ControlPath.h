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
 * \brief Whether the host may serve and, if not, why.
 */
struct Readiness {
    bool canServe { false };
    base::RefusalCode code { base::RefusalCode::NotReady }; /**< For refusals while it may not. */
    std::string reason; /**< Empty if it may. */

    bool operator==(const Readiness&) const = default;
};

/** \struct ControlCounters
 * \brief Counts since the start of the process.
 */
struct ControlCounters {
    uint64_t messagesSent { 0 };
    uint64_t platformReads { 0 };
    uint64_t wholeValuesSent { 0 };
    uint64_t referrals { 0 }; /**< Requests for a whole value that were passed to other hosts. */
    uint64_t changesRefused { 0 }; /**< Deltas from peers that did not apply. */
    uint64_t conflicts { 0 };
    uint64_t invalidValues { 0 };
    uint64_t staleOffers { 0 };
    uint64_t pauses { 0 };
    uint64_t suspicions { 0 };
    uint64_t removals { 0 };
};

/** \class ControlPath
 * \brief Published values, host view and exchange with peers. Thread-safe.
 */
class ControlPath {
public:
    explicit ControlPath(SharedState&);

    /** Takes a value as the platform delivered it. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);
    Actions hostListPublished(std::string_view text, base::TimePoint now);
    Actions platformReadEnded(std::string_view key, ReadStatus, base::TimePoint now);
    Actions peerMessage(const PeerMessage&, base::TimePoint now);
    Actions tick(base::TimePoint now);

    /** Moves the process to a later stage and announces it; returns no action if it is not later. */
    Actions advance(membership::Lifecycle, base::TimePoint now);
    /** Sets the share of the host's capacity in use, which peers learn. */
    void setLoad(double load);

    /** Returns whether new work may be taken and sent. Also notices a pause that ended just now. */
    Readiness readiness(base::TimePoint now) const;
    ControlCounters counters() const;

private:
    // Newest version that peers announced, and who has it.
    struct AnnouncedVersion {
        uint64_t version { 0 };
        std::vector<std::string> holders; // peer addresses
        base::TimePoint retryAt {};
        base::TimePoint since {};
    };

    struct Value {
        dissemination::StoredValue stored;
        dissemination::ReadPlan plan;
        AnnouncedVersion announced;
        bool wasNewVersion { false }; // the last text from the platform was taken
        bool isReader { false };
    };

    enum class Origin : uint8_t { Platform, Peer };

    Value* find(std::string_view key);
    void start(base::TimePoint now);
    void pass(base::TimePoint now, Actions&);
    void period(base::TimePoint now, Actions&);
    void askPeers(base::TimePoint now, Actions&);
    void readPlatform(base::TimePoint now, Actions&);
    void publishView(base::TimePoint now);

    void offer(Value&, dissemination::OfferedValue&&, Origin, base::TimePoint now, Actions&);
    bool putInForce(Value&, const std::string& text, base::TimePoint now, uint64_t& version, base::LastReason&);
    void push(const Value&, Actions&);

    void takeDeltas(const PeerMessage&, base::TimePoint now, Actions&);
    void takeDigests(const PeerMessage&, PeerMessage& answer, base::TimePoint now, Actions&);
    void answerRequests(const PeerMessage&, PeerMessage& answer);
    void takeAnswer(const PeerMessage&, base::TimePoint now);
    bool isBehind() const;

    PeerMessage compose() const;
    void probe(const std::vector<membership::Peer>&, base::TimePoint now, Actions&);
    void send(const std::string& address, PeerMessage, Actions&);
    std::vector<membership::Peer> seedPeers(size_t count);
    void updateReadiness(base::TimePoint now, Actions&);
    Readiness assess() const;

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
    bool m_hasJoined { false };
    bool m_peersAnswered { false }; // a peer that has the values answered since the start
    base::TimePoint m_start {};
    base::TimePoint m_nextPeriod {};
    base::TimePoint m_nextAsk {};
    base::Duration m_askInterval {};
    base::TimePoint m_lastPeerAnswer {};
    base::TimePoint m_viewPublished {};
    uint64_t m_periods { 0 };
    uint64_t m_lastProbe { 0 };
    double m_wholeValueTokens { 0 };
    base::TimePoint m_tokensAt {};
    std::deque<membership::HostObservation> m_served; // hosts that were sent a whole value
    std::vector<std::string> m_waiting; // hosts that asked for a value that this one did not have

    uint64_t m_handledPauses { 0 };
    uint64_t m_firstFreshProbe { 0 };
    base::TimePoint m_resumed {};
    std::array<uint64_t, 2> m_readsAtResume {};
    std::array<bool, 2> m_isReadSinceResume {};
};

}
