#pragma once

#include "papayabend/fleet/ContentFreshness.h"
#include "papayabend/fleet/ContentPull.h"
#include "papayabend/fleet/ContentTransfers.h"
#include "papayabend/fleet/LoadEstimate.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/GatewayState.h"
#include "papayabend/gateway/HttpListener.h"
#include "papayabend/gateway/PeerLink.h"
#include "papayabend/gateway/RequestRelay.h"
#include "papayabend/gateway/StoreReader.h"
#include "papayabend/membership/PauseDetector.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::gateway {

/** \class GatewayHost
 * \brief Owns the components of a gateway process and runs it from start to planned stop.
 *
 * All functions run on the thread of the I/O context.
 */
class GatewayHost {
public:
    GatewayHost(boost::asio::io_context&, const GatewaySettings&, std::string settingsFile, const PlatformAdapter&,
        uint64_t seed);
    ~GatewayHost();
    GatewayHost(const GatewayHost&) = delete;
    GatewayHost& operator=(const GatewayHost&) = delete;

    /** Starts listening and the periodic work. On failure the reason names the address that cannot be used, or the
     * error in the table. */
    bool start(base::LastReason&);

    MessageFaults& faults() { return *m_state.faults; }

private:
    /** A host serves again this long after a pause even if neither the store nor another host has answered: then no
     * other host is reachable either. */
    static constexpr base::Duration staleTimeout { std::chrono::milliseconds(500) };

    HttpListener& listenerFor(const std::string& address);
    void handle(const std::string& address, const std::shared_ptr<ClientRequest>&);
    /** Answers readiness, entry, content and metrics requests; returns false for any other request. */
    bool answerOwnRequest(const std::string& address, const std::shared_ptr<ClientRequest>&);
    StoreEvents storeEvents();
    PeerEvents peerEvents();
    /** Logs a change of the content and applies the limits and traffic split of a new configuration. */
    void handleContentChange(const ContentChange&, const char* source);
    /** Logs the evacuations that have begun or ended. */
    void logEvacuations();
    /** Updates the heartbeat, the upstream connections and the stage after the content has changed. */
    void updateAfterContentChange();
    /** States the position of the content in the heartbeats of this host. */
    void setStatedPosition();
    /** Sets the connection limit of each upstream and opens a first connection to those in use. */
    void updateUpstreamConnections();
    void logRefusedMessage(const std::string& reason, const std::string& from);
    /** Counts a pull, and logs it if it failed or was slow. */
    void logPull(const PullResult&);
    /** Returns the answer to a pull of the changes after \a after by the host at \a puller: the content, or a
     * refusal if it is large and enough transfers are in progress. */
    Answer answerPull(base::StorePosition after, std::string_view puller);
    /** Frees the encoded answer to pulls some time after its last use. */
    void dropUnusedEncoding(base::TimePoint now);
    /** Applies the content that a pull has brought; returns whether this host has newer content than before. */
    bool applyPulledContent(const PullResult&);
    /** Records the end of a pull and schedules the next check whether to pull. */
    void pullAgain(const PullResult&, bool hasAdvanced);
    void handleHeartbeats(const fleet::HeartbeatMessage&);
    /** Applies the changes that another host has sent with its heartbeat. */
    /** Applies what another host knows of requests that end upstreams, and logs what is new. */
    void mergeCrashNotices(std::span<const dispatch::CrashNotice>, base::TimePoint now);
    void applyPushedChanges(const fleet::HeartbeatMessage&);
    /** Pulls the content of a host with a newer revision if fleet::choosePullSource() names one. */
    void pullIfBehind(base::TimePoint now);
    /** Detects that the process did not run for a while. Its content then counts as stale until a host or the store
     * answers. */
    void checkPause(base::TimePoint now);
    /** Starts or stops reading the store, depending on whether this host is a chosen reader or stands in for them. */
    void updateStoreReader(base::TimePoint now);
    /** Abandons the present call if this host has heard no fresh confirmation, and makes a new one. */
    void renewStoreCall(const fleet::ReaderRole&, base::TimePoint now);
    /** Returns the time until this host reads the store for itself, at most \a time. */
    base::Duration timeUntilReading(base::Duration time, base::TimePoint now) const;
    /** Records an answer of the store that this host has applied. */
    void recordStoreAnswer(bool hasChanges);
    /** Records the age of the newest confirmation of the store that the sender of \a message knows of, and passes it on
     * if this host is the reader of its failure domain. */
    void recordStatedAge(const fleet::HeartbeatMessage&, base::TimePoint now);
    /** Sends a heartbeat to the hosts that rely on this reader, after an answer of the store without changes. */
    void sendConfirmation();
    fleet::ReaderKind readerKind() const;
    /** Sends the changes after \a after to other hosts; if it is of an earlier era, they pull all content. */
    void pushChanges(base::StorePosition after);
    /** Logs that this host's content is of a later era than \a before. */
    void logEra(base::StorePosition before, const char* source);
    /** Returns whether a live host has a newer configuration than this one. */
    bool lacksConfiguration(base::TimePoint now) const;
    /** Sends a heartbeat outside the regular interval, so that other hosts see a new stage or state immediately. */
    void sendHeartbeatNow();
    fleet::ServingSettings servingSettings() const;
    fleet::EntryValiditySettings validitySettings() const;
    /** Returns the answer to a question of a caller in \a failureDomain for the addresses to use. */
    Answer entryAnswer(const std::string& failureDomain);
    /** Exchanges the bounds of fan-outs with the other hosts, and logs the begin and end of an overload. */
    void updateAdmission(base::TimePoint now);
    /** Records changes of the fleet that determine how long entry answers are valid, and logs them. */
    void updateCalm(base::TimePoint now);
    /** Finds out whether this host reaches the upstreams, and tells the others. */
    void updateReach(base::TimePoint now);
    /** Returns whether requests of callers are passed on to other hosts. */
    bool relays() const;
    /** Does the periodic work and schedules the next run. */
    void tick();
    void waitForSignal();
    /** Reads the settings file again. Invalid settings leave the old ones in force. */
    void reload(const char* cause);
    /** Loads the table of weights and limits if its file has changed. An invalid or older table leaves the old one in
     * force. */
    bool loadTable(base::LastReason&);
    /** Reloads the settings and the table if their files have changed. */
    void reloadChangedFiles();
    void beginStop();
    /** Ends all open requests, each with an answer. */
    void endRequests();
    /** Ends the process once no connection of a caller is busy and all entry answers that name this host have expired.
     * At m_stopAt it ends the requests that are still open, and soon after that the process. */
    void stopWhenIdle();
    /** Puts the bounds on clients in force. */
    void applyClientSettings();
    /** Logs how many clients were refused or closed, by reason. */
    void logRefusedClients(base::TimePoint now);
    bool isReady() const;
    void updateStage();
    void updateMetrics();
    void logEvent(std::string_view event, const LogFields& fields, LineClass = LineClass::Lifecycle);

    /** \struct TransferCounters
     * \brief Pulls and the content exchanged by them, since the start of the process.
     */
    struct TransferCounters {
        uint64_t pulls { 0 };
        uint64_t refusedPulls { 0 }; /**< The other host was busy with other transfers. */
        uint64_t failedPulls { 0 };
        uint64_t pulledBytes { 0 };
        uint64_t sentBytes { 0 }; /**< In answers to the pulls of other hosts. */
        base::Duration encodeTime { 0 }; /**< Time spent encoding those answers. */
    };

    /** \struct EncodedContent
     * \brief The last answer to a pull; many hosts pull the same after a large change.
     */
    struct EncodedContent {
        base::StorePosition after;
        base::StorePosition position;
        uint64_t configurationVersion { 0 }; /**< The configuration in force may be newer than the stored one. */
        std::string bytes;
        base::TimePoint usedAt {};
    };

    std::shared_ptr<MessageFaults> m_faults;
    std::shared_ptr<BufferBudget> m_buffers; /**< Of all connections. */
    std::shared_ptr<ClientGuard> m_guard; /**< Of all listeners. */
    EventLog m_log;
    GatewayMetrics m_metrics;
    GatewayState m_state;
    std::string m_settingsFile;
    std::string m_settingsText;
    std::string m_tableText;
    StoreReader m_storeReader;
    PeerLink m_peerLink;
    RequestRelay m_relay;
    dispatch::UpstreamReach m_reach;
    std::vector<std::pair<std::string, std::unique_ptr<HttpListener>>> m_listeners;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_pullTimer;
    boost::asio::signal_set m_signals;
    membership::PauseDetector m_pauseDetector;
    TransferCounters m_transfers;
    EncodedContent m_encodedContent;
    std::shared_ptr<fleet::ContentTransfers> m_contentTransfers; /**< Open connections refer to it. */
    fleet::PullState m_pullState;
    fleet::PullSource m_pullSource; /**< Of the pull in progress. */
    fleet::ContentFreshness m_freshness;
    fleet::ReaderRole m_readerRole;
    base::TimePoint m_sentConfirmation {}; /**< The newest confirmation that this host has sent as a reader. */
    uint64_t m_standIns { 0 }; /**< Times that this host has begun to stand in. */
    fleet::LoadEstimate m_loadEstimate;
    fleet::LoadEstimate m_demandEstimate;
    fleet::FleetCalm m_calm;
    bool m_wasCalm { false };
    size_t m_overloadedSets { 0 };
    uint64_t m_entryAnswers { 0 };
    uint64_t m_calmEntryAnswers { 0 }; /**< Those with the longer validity of a calm fleet. */
    base::TimePoint m_startedAt {};
    base::TimePoint m_stopAt {};
    base::TimePoint m_resumedAt {};
    base::TimePoint m_storeUnreachableUntil {};
    uint64_t m_ticks { 0 };
    bool m_isStopping { false };
};

}
