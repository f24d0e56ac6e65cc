#include "papayabend/transport/Shell.h"

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
    , m_upstreams(settings.upstreams, [this](const routing::AttemptResult& result, base::Duration elapsed) {
        m_metrics.attemptFinished(result.status, elapsed);
        perform(m_engine.attemptFinished(result, base::BootClock::now()));
    })
{
    tick();
}

void Shell::search(query::SearchRequest request, ReplyHandler handler)
{
    m_handlers.insert({ request.id, std::move(handler) });
    perform(m_engine.submitSearch(std::move(request), base::BootClock::now()));
}

void Shell::perform(engine::Actions actions)
{
    // An attempt that ends at once yields more actions before the present list is done. They are queued, because a
    // cancellation that overtakes its attempt would be without effect.
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

void Shell::perform(engine::ReplyRefusal& action) { reply(action.request, std::move(action.refusal)); }

void Shell::perform(engine::SetTimer& action)
{
    m_timers.at(action.at, [this, id = action.request] { perform(m_engine.timerExpired(id, base::BootClock::now())); });
}

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

void Shell::connectUpstreams()
{
    std::scoped_lock lock(m_catalogMutex);
    auto catalog = m_engine.catalog();
    if (catalog == m_connectedCatalog)
        return;
    m_connectedCatalog = catalog;
    m_upstreams.connect(*catalog);
}

void Shell::tick()
{
    connectUpstreams();
    m_timers.at(base::BootClock::now() + tickInterval, [this] { tick(); });
}

}
