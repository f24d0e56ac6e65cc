#pragma once

#include "papayabend/engine/Engine.h"
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

    explicit Shell(engine::Engine&);

    /** Starts a search; \a handler is called once, on any thread. */
    void search(query::SearchRequest, ReplyHandler handler);
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
    void perform(engine::StateChange&);
    void reply(routing::RequestId, Reply);

    engine::Engine& m_engine;
    tbb::concurrent_hash_map<routing::RequestId, ReplyHandler> m_handlers;
    Timers m_timers;
    UpstreamClient m_upstreams;
};

}
