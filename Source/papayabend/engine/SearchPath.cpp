#include "papayabend/engine/SearchPath.h"

#include <utility>

namespace papayabend::engine {

namespace {

    // Attempt numbers are the request number followed by a counter, so that they are unique in the process.
    constexpr unsigned attemptCounterBits = 16;

}

SearchPath::SearchPath(SharedState& shared)
    : m_shared(shared)
{
}

query::SearchContext SearchPath::contextOf(RunningSearch& running)
{
    return { m_shared.upstreams, running.random, running.lastAttempt };
}

Actions SearchPath::perform(Searches::accessor& accessor, query::SearchStep&& step)
{
    Actions actions;
    auto id = accessor->first;
    for (auto attempt : step.cancel)
        actions.emplace_back(CancelAttempt { attempt });
    for (auto& attempt : step.send)
        actions.emplace_back(SendAttempt { std::move(attempt) });
    if (step.timer)
        actions.emplace_back(SetTimer { id, *step.timer });
    if (step.answer)
        actions.emplace_back(ReplySearch { id, std::move(*step.answer) });
    if (step.refusal)
        actions.emplace_back(ReplyRefusal { id, std::move(*step.refusal) });
    if (step.answer || step.refusal)
        m_searches.erase(accessor);
    return actions;
}

Actions SearchPath::start(query::SearchRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto running = std::make_shared<RunningSearch>();
    running->search.request = std::move(request);
    running->search.catalog = m_shared.catalog.load();
    running->random.seed(m_shared.seed ^ id);
    running->lastAttempt = id << attemptCounterBits;
    Searches::accessor accessor;
    m_searches.insert(accessor, { id, running });
    auto context = contextOf(*running);
    return perform(accessor, query::startSearch(running->search, context, now));
}

Actions SearchPath::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    Searches::accessor accessor;
    if (!m_searches.find(accessor, result.request))
        return {};
    auto running = accessor->second;
    auto context = contextOf(*running);
    return perform(accessor, query::attemptFinished(running->search, context, result, now));
}

Actions SearchPath::timerExpired(routing::RequestId id, base::TimePoint now)
{
    Searches::accessor accessor;
    if (!m_searches.find(accessor, id))
        return {};
    auto running = accessor->second;
    auto context = contextOf(*running);
    return perform(accessor, query::timerExpired(running->search, context, now));
}

}
