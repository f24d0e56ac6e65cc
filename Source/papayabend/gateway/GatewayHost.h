#pragma once

#include "papayabend/fleet/LoadEstimate.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/GatewayState.h"
#include "papayabend/gateway/HttpListener.h"
#include "papayabend/gateway/PeerLink.h"
#include "papayabend/gateway/StoreReader.h"
#include "papayabend/membership/PauseDetector.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::gateway {

/** \class GatewayHost
 * \brief The parts of a gateway process and its life from start to planned stop. Used on the thread of its loop.
 */
class GatewayHost {
public:
    GatewayHost(boost::asio::io_context&, const GatewaySettings&, std::string settingsFile, const PlatformAdapter&,
        uint64_t seed);
    ~GatewayHost();
    GatewayHost(const GatewayHost&) = delete;
    GatewayHost& operator=(const GatewayHost&) = delete;

    /** Starts to listen; the reason names the address that cannot be used. */
    bool start(base::LastReason&);

private:
    /** Without an answer to a pull within this time after a pause, no other host can be reached either. */
    static constexpr base::Duration refreshTime { std::chrono::milliseconds(500) };

    HttpListener& listenerFor(const std::string& address);
    void handle(const std::string& address, const std::shared_ptr<ClientRequest>&);
    bool handleOwn(const std::string& address, const std::shared_ptr<ClientRequest>&);
    StoreEvents storeEvents();
    PeerEvents peerEvents();
    void take(const ContentChange&, const char* source);
    void contentChanged();
    void refreshUpstreams();
    void noteRefused(const std::string& reason, const std::string& from);
    void receive(const fleet::HeartbeatMessage&);
    void takeChanges(const fleet::HeartbeatMessage&);
    void pullIfBehind(base::TimePoint now);
    /** Notices that the process did not run for a while: its view is stale until a host or the store has answered. */
    void checkPause(base::TimePoint now);
    base::Duration behindTime(const fleet::Member&) const;
    void updateReader(base::TimePoint now);
    void pushChanges(uint64_t after);
    void sendHeartbeatNow();
    fleet::ServingSettings serving() const;
    void tick();
    void waitForSignal();
    void reload(const char* cause);
    /** Takes the table of weights and limits; one with an error, or an older one, leaves the old one in force. */
    bool loadTable(base::LastReason&);
    void checkSettingsFile();
    void beginStop();
    /** Answers all open requests. */
    void endRequests();
    void stopWhenQuiet();
    bool isReady() const;
    void updateStage();
    void updateMetrics();
    void note(std::string_view event, const LogFields& fields, LineClass = LineClass::Lifecycle);

    EventLog m_log;
    GatewayMetrics m_metrics;
    GatewayState m_state;
    std::string m_settingsFile;
    std::string m_settingsText;
    std::string m_tableText;
    StoreReader m_store;
    PeerLink m_peers;
    std::vector<std::pair<std::string, std::unique_ptr<HttpListener>>> m_listeners;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::signal_set m_signals;
    membership::PauseDetector m_pauses;
    fleet::LoadEstimate m_load;
    base::TimePoint m_startedAt {};
    base::TimePoint m_behindSince {};
    base::TimePoint m_stopAt {};
    base::TimePoint m_resumedAt {};
    base::TimePoint m_storeUnreachableUntil {};
    uint64_t m_ticks { 0 };
    bool m_isStopping { false };
};

}
