#include "papayabend/engine/Engine.h"

#include <utility>

namespace papayabend::engine {

Engine::Engine(uint64_t seed, membership::HostIdentity identity)
    : m_shared(seed, std::move(identity))
    , m_searches(m_shared)
    , m_control(m_shared)
{
}

void Engine::configureRouting(routing::RoutingSettings settings)
{
    m_shared.routing.quarantine.configure(settings.crashes);
    m_shared.upstreams.configure(std::move(settings));
}

void Engine::quarantineNotice(const routing::QuarantineNotice& notice, base::TimePoint now)
{
    m_shared.routing.quarantine.received(notice, now);
}

std::vector<routing::QuarantineNotice> Engine::takeQuarantineNotices()
{
    std::vector<routing::QuarantineNotice> notices;
    routing::QuarantineNotice notice;
    while (m_shared.quarantineNotices.try_pop(notice))
        notices.push_back(notice);
    return notices;
}

routing::RequestId Engine::nextRequest() { return ++m_lastRequest; }

Actions Engine::submitSearch(query::SearchRequest request, base::TimePoint now)
{
    return m_searches.start(std::move(request), now);
}

Actions Engine::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    routing::attemptFinished(m_shared.upstreams, result, now);
    return m_searches.attemptFinished(result, now);
}

Actions Engine::timerExpired(routing::RequestId id, base::TimePoint now) { return m_searches.timerExpired(id, now); }

Actions Engine::valuePublished(std::string_view key, std::string_view text, base::TimePoint now)
{
    return m_control.valuePublished(key, text, now);
}

Actions Engine::hostListPublished(std::string_view text, base::TimePoint now)
{
    return m_control.hostListPublished(text, now);
}

Actions Engine::platformReadEnded(std::string_view key, ReadStatus status, base::TimePoint now)
{
    return m_control.platformReadEnded(key, status, now);
}

Actions Engine::peerMessage(const PeerMessage& message, base::TimePoint now)
{
    return m_control.peerMessage(message, now);
}

Actions Engine::tick(base::TimePoint now) { return m_control.tick(now); }

}
