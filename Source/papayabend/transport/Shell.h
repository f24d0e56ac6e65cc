#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/settings/Settings.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/PeerClient.h"
#include "papayabend/transport/PeerServer.h"
#include "papayabend/transport/PlatformReader.h"
#include "papayabend/transport/Timers.h"
#include "papayabend/transport/UpstreamClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <tbb/concurrent_hash_map.h>
#include <variant>

namespace papayabend::transport {

/** Answer to a caller: one alternative for each kind of reply. */
using Reply = std::variant<query::SearchAnswer, execution::ExecutionAnswer, execution::OutcomeAnswer, base::Refusal>;

/** \class Shell
 * \brief Performs the engine's actions with sockets and timers and feeds the results back as events.
 */
class Shell {
public:
    using ReplyHandler = std::function<void(Reply)>;

    Shell(engine::Engine&, const settings::Settings&, Metrics&);

    /** Listens for other hosts on \a peerAddress and starts the control path. Returns false if the address cannot
     * be bound.
     */
    bool start(const std::string& peerAddress);

    /** Starts a search; \a handler is called once, on any thread. */
    void search(query::SearchRequest, ReplyHandler handler);
    /** Starts a non-idempotent request; \a handler is called once, on any thread. */
    void execute(execution::ExecutionRequest, ReplyHandler handler);
    /** Performs actions in order; actions that result from them on the same thread are queued behind them. */
    void perform(engine::Actions);

    const UpstreamClient& upstreams() const { return m_upstreams; }
    /** Returns the time of day at which the current table was first seen in force, accurate to 100 ms. */
    std::chrono::system_clock::time_point tableSince() const;
    /** Returns the number of requests that have no reply yet. */
    size_t openRequests() const { return m_handlers.size(); }

private:
    void perform(engine::SendAttempt&);
    void perform(engine::CancelAttempt&);
    void perform(engine::ReplySearch&);
    void perform(engine::ReplyExecution&);
    void perform(engine::ReplyOutcome&);
    void perform(engine::ForwardExecution&);
    void perform(engine::ReplyRefusal&);
    void perform(engine::SetTimer&);
    void perform(engine::SendPeerMessage&);
    void perform(engine::ReadPlatform&);
    void perform(engine::StateChange&);
    void reply(routing::RequestId, Reply);
    void applyNewValues();
    void executeForwarded(execution::ExecutionRequest, std::function<void(execution::ForwardReply)> done);
    void handleReadResult(const std::string& key, engine::ReadStatus, const std::string& text);
    void tick();

    engine::Engine& m_engine;
    Metrics& m_metrics;
    tbb::concurrent_hash_map<routing::RequestId, ReplyHandler> m_handlers;
    mutable std::mutex m_valuesMutex;
    std::shared_ptr<const table::Table> m_seenTable;
    std::chrono::system_clock::time_point m_tableSince;
    std::shared_ptr<const catalog::Catalog> m_connectedCatalog;
    UpstreamClient m_upstreams;
    PeerClient m_peers;
    PlatformReader m_platform;
    PeerServer m_peerServer;
    Timers m_timers;
};

}
