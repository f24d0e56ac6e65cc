#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/settings/Settings.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/Timers.h"
#include "papayabend/transport/UpstreamClient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <tbb/concurrent_hash_map.h>
#include <variant>

namespace papayabend::transport {

/** Answer to a caller: one alternative for each kind of reply. */
using Reply = std::variant<query::SearchAnswer, base::Refusal>;

/** \class Shell
 * \brief Performs the engine's actions with sockets and timers and feeds the results back as events.
 */
class Shell {
public:
    using ReplyHandler = std::function<void(Reply)>;

    Shell(engine::Engine&, const settings::Settings&, Metrics&);

    /** Starts a search; \a handler is called once, on any thread. */
    void search(query::SearchRequest, ReplyHandler handler);
    /** Performs actions in order; those that arise meanwhile on the same thread follow after them. */
    void perform(engine::Actions);

    const UpstreamClient& upstreams() const { return m_upstreams; }
    /** Requests that have no reply yet. */
    size_t openRequests() const { return m_handlers.size(); }

private:
    void perform(engine::SendAttempt&);
    void perform(engine::CancelAttempt&);
    void perform(engine::ReplySearch&);
    void perform(engine::ReplyRefusal&);
    void perform(engine::SetTimer&);
    void perform(engine::StateChange&);
    void reply(routing::RequestId, Reply);
    void connectUpstreams();
    void tick();

    engine::Engine& m_engine;
    Metrics& m_metrics;
    tbb::concurrent_hash_map<routing::RequestId, ReplyHandler> m_handlers;
    std::mutex m_catalogMutex;
    std::shared_ptr<const catalog::Catalog> m_connectedCatalog;
    UpstreamClient m_upstreams;
    Timers m_timers;
};

}
