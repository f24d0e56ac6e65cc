#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/transport/PeerClient.h"
#include "papayabend/transport/PeerServer.h"
#include "papayabend/transport/PlatformReader.h"
#include "papayabend/transport/Timers.h"
#include "papayabend/transport/UpstreamClient.h"

#include <functional>
#include <memory>
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

    /** \a platformAddress is the IP address and port of the configuration service and the host list. */
    explicit Shell(engine::Engine&, std::string platformAddress = {});

    /** Listens for other hosts on \a peerAddress and starts the control path. Returns false if the address cannot
     * be bound.
     */
    bool start(const std::string& peerAddress);

    /** Starts a search; \a handler is called once, on any thread. */
    void search(query::SearchRequest, ReplyHandler handler);
    /** Starts a non-idempotent request; \a handler is called once, on any thread. */
    void execute(execution::ExecutionRequest, ReplyHandler handler);
    void perform(engine::Actions);

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
    void forwarded(execution::ExecutionRequest, std::function<void(execution::ForwardReply)> done);
    void readEnded(const std::string& key, engine::ReadStatus, const std::string& text);
    void tick();

    engine::Engine& m_engine;
    tbb::concurrent_hash_map<routing::RequestId, ReplyHandler> m_handlers;
    UpstreamClient m_upstreams;
    PeerClient m_peers;
    PlatformReader m_platform;
    PeerServer m_peerServer;
    Timers m_timers;
};

}
