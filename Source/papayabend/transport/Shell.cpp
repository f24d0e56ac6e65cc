#include "papayabend/transport/Shell.h"

#include "papayabend/transport/ForwardCodec.h"

#include <deque>
#include <iterator>
#include <spdlog/spdlog.h>

namespace papayabend::transport {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };

}

Shell::Shell(engine::Engine& engine, const settings::Settings& settings, Metrics& metrics)
    : m_engine(engine)
    , m_metrics(metrics)
    , m_upstreams(settings.upstreams,
          [this](const routing::AttemptResult& result, base::Duration elapsed) {
              m_metrics.attemptFinished(result.status, elapsed);
              perform(m_engine.attemptFinished(result, base::BootClock::now()));
          })
    , m_platform(settings.platform.address,
          [this](const std::string& key, engine::ReadStatus status, const std::string& text) {
              handleReadResult(key, status, text);
          })
    , m_peerServer({ .exchange
          = [this](
                const engine::PeerMessage& message) { perform(m_engine.peerMessage(message, base::BootClock::now())); },
          .forward =
              [this](execution::ExecutionRequest request, std::function<void(execution::ForwardReply)> done) {
                  executeForwarded(std::move(request), std::move(done));
              } })
{
}

bool Shell::start(const std::string& peerAddress)
{
    if (!m_peerServer.start(peerAddress))
        return false;
    tick();
    return true;
}

void Shell::tick()
{
    perform(m_engine.tick(base::BootClock::now()));
    applyNewValues();
    m_timers.at(base::BootClock::now() + tickInterval, [this] { tick(); });
}

void Shell::handleReadResult(const std::string& key, engine::ReadStatus status, const std::string& text)
{
    auto now = base::BootClock::now();
    if (status == engine::ReadStatus::Value && key == "hosts")
        perform(m_engine.hostListPublished(text, now));
    else if (status == engine::ReadStatus::Value)
        perform(m_engine.valuePublished(key, text, now));
    perform(m_engine.platformReadEnded(key, status, now));
}

void Shell::search(query::SearchRequest request, ReplyHandler handler)
{
    m_handlers.insert({ request.id, std::move(handler) });
    perform(m_engine.submitSearch(std::move(request), base::BootClock::now()));
}

void Shell::execute(execution::ExecutionRequest request, ReplyHandler handler)
{
    m_handlers.insert({ request.id, std::move(handler) });
    perform(m_engine.submitExecution(std::move(request), base::BootClock::now()));
}

void Shell::perform(engine::Actions actions)
{
    // An attempt that ends immediately produces more actions before the current list is done. They are queued, because
    // a cancellation that is performed before its attempt is sent would have no effect.
    thread_local std::deque<engine::Action> pending;
    thread_local bool isPerforming = false;
    std::ranges::move(actions, std::back_inserter(pending));
    if (isPerforming)
        return;
    isPerforming = true;
    while (!pending.empty()) {
        auto action = std::move(pending.front());
        pending.pop_front();
        std::visit([this](auto& it) { perform(it); }, action);
    }
    isPerforming = false;
}

void Shell::perform(engine::SendAttempt& action) { m_upstreams.send(action.attempt); }

void Shell::perform(engine::CancelAttempt& action) { m_upstreams.cancel(action.attempt); }

void Shell::perform(engine::ReplySearch& action) { reply(action.request, std::move(action.answer)); }

void Shell::perform(engine::ReplyExecution& action) { reply(action.request, std::move(action.answer)); }

void Shell::perform(engine::ReplyOutcome& action) { reply(action.request, std::move(action.answer)); }

void Shell::perform(engine::ForwardExecution& action)
{
    auto finished = [this, id = action.request.id](execution::ForwardReply reply) {
        perform(m_engine.forwardFinished(id, std::move(reply), base::BootClock::now()));
    };
    auto view = m_engine.hostView();
    const auto* host = membership::findHost(*view, action.host);
    if (host)
        m_peers.forward(host->peerAddress, action.request, finished);
    else
        finished(unreachableHost("host " + action.host + " is no longer known"));
}

void Shell::executeForwarded(execution::ExecutionRequest request, std::function<void(execution::ForwardReply)> done)
{
    request.id = m_engine.nextRequest();
    execute(std::move(request), [done = std::move(done)](Reply reply) {
        if (auto* answer = std::get_if<execution::ExecutionAnswer>(&reply))
            done(std::move(*answer));
        else if (auto* outcome = std::get_if<execution::OutcomeAnswer>(&reply))
            done(std::move(*outcome));
        else if (auto* refusal = std::get_if<base::Refusal>(&reply))
            done(std::move(*refusal));
        else
            done(unreachableHost("unexpected reply type"));
    });
}

void Shell::perform(engine::ReplyRefusal& action) { reply(action.request, std::move(action.refusal)); }

void Shell::perform(engine::SetTimer& action)
{
    m_timers.at(action.at, [this, id = action.request] { perform(m_engine.timerExpired(id, base::BootClock::now())); });
}

void Shell::perform(engine::SendPeerMessage& action) { m_peers.send(action.peerAddress, action.message); }

void Shell::perform(engine::ReadPlatform& action) { m_platform.read(action); }

void Shell::perform(engine::StateChange& action) { spdlog::info("{}: {}", action.component, action.text); }

void Shell::reply(routing::RequestId id, Reply reply)
{
    decltype(m_handlers)::accessor accessor;
    if (!m_handlers.find(accessor, id))
        return;
    auto handler = std::move(accessor->second);
    m_handlers.erase(accessor);
    handler(std::move(reply));
}

std::chrono::system_clock::time_point Shell::tableSince() const
{
    std::scoped_lock lock(m_valuesMutex);
    return m_tableSince;
}

void Shell::applyNewValues()
{
    std::scoped_lock lock(m_valuesMutex);
    if (auto table = m_engine.table(); table != m_seenTable) {
        m_seenTable = std::move(table);
        m_tableSince = std::chrono::system_clock::now();
    }
    auto catalog = m_engine.catalog();
    if (catalog == m_connectedCatalog)
        return;
    m_connectedCatalog = catalog;
    m_upstreams.connect(*catalog);
}

}
