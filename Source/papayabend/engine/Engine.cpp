#include "papayabend/engine/Engine.h"

#include <utility>

namespace papayabend::engine {

Engine::Engine(uint64_t seed)
    : m_searches(m_shared)
    , m_control(m_shared)
{
    m_shared.seed = seed;
}

routing::RequestId Engine::nextRequest() { return ++m_lastRequest; }

Actions Engine::submitSearch(query::SearchRequest request, base::TimePoint now)
{
    return m_searches.start(std::move(request), now);
}

Actions Engine::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    routing::attemptFinished(m_shared.upstreams, result);
    return m_searches.attemptFinished(result, now);
}

Actions Engine::timerExpired(routing::RequestId id, base::TimePoint now) { return m_searches.timerExpired(id, now); }

Actions Engine::valuePublished(std::string_view key, std::string_view text, base::TimePoint now)
{
    return m_control.valuePublished(key, text, now);
}

}
