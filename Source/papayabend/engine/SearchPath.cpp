#include "papayabend/engine/SearchPath.h"

#include <limits>
#include <utility>

namespace papayabend::engine {

namespace {

    // Attempt numbers are the request number followed by a counter, so that they are unique in the process.
    constexpr unsigned attemptCounterBits = 16;
    // Probes belong to no request; their numbers start above those of all requests.
    constexpr routing::AttemptId firstProbe = routing::AttemptId { 1 } << 63;

}

SearchPath::SearchPath(SharedState& shared)
    : m_shared(shared)
    , m_lastProbe(firstProbe)
{
}

query::SearchContext SearchPath::contextOf(RunningSearch& running)
{
    return { m_shared.upstreams, m_shared.routing, m_shared.catalog.load(), running.random, running.lastAttempt };
}

void SearchPath::perform(Searches::accessor& accessor, query::SearchStep&& step, Actions& actions)
{
    auto id = accessor->first;
    for (auto attempt : step.cancel)
        actions.emplace_back(CancelAttempt { attempt });
    for (const auto& notice : step.notices)
        m_shared.quarantineNotices.push({ accessor->second->search.request.service, notice });
    waitFor(step.waitFor, id);
    for (auto& attempt : step.send)
        actions.emplace_back(SendAttempt { std::move(attempt) });
    if (step.timer)
        actions.emplace_back(SetTimer { id, *step.timer });
    if (step.answer)
        actions.emplace_back(ReplySearch { id, std::move(*step.answer) });
    if (step.refusal)
        actions.emplace_back(ReplyRefusal { id, std::move(*step.refusal) });
    if (!step.answer && !step.refusal)
        return;
    auto service = accessor->second->search.request.service;
    auto wasRunning = accessor->second->isRunning;
    m_searches.erase(accessor);
    if (wasRunning)
        m_limiter.release(service);
}

uint32_t SearchPath::limitOf(const std::string& service)
{
    auto catalog = m_shared.catalog.load();
    const auto* known = catalog::findService(*catalog, service);
    // An unknown service is refused at once and needs no limit.
    return known ? query::searchLimit(m_shared.upstreams, *catalog, *known) : std::numeric_limits<uint32_t>::max();
}

void SearchPath::run(Searches::accessor& accessor, Actions& actions, base::TimePoint now)
{
    auto running = accessor->second;
    running->isRunning = true;
    running->search.catalog = m_shared.catalog.load();
    auto context = contextOf(*running);
    perform(accessor, query::startSearch(running->search, context, now), actions);
}

void SearchPath::runWaiting(const std::string& service, Actions& actions, base::TimePoint now)
{
    auto limit = limitOf(service);
    while (auto id = m_limiter.next(service, limit)) {
        Searches::accessor accessor;
        if (m_searches.find(accessor, *id))
            run(accessor, actions, now);
        else
            m_limiter.release(service);
    }
}

void SearchPath::waitFor(const std::vector<catalog::UpstreamId>& upstreams, routing::RequestId id)
{
    if (upstreams.empty())
        return;
    std::scoped_lock lock(m_waitingMutex);
    for (auto upstream : upstreams) {
        auto n = catalog::toIndex(upstream);
        if (n >= m_waiting.size())
            m_waiting.resize(n + 1);
        m_waiting[n].push_back(id);
    }
}

std::optional<routing::RequestId> SearchPath::nextWaiting(catalog::UpstreamId upstream)
{
    std::scoped_lock lock(m_waitingMutex);
    auto n = catalog::toIndex(upstream);
    if (n >= m_waiting.size() || m_waiting[n].empty())
        return std::nullopt;
    auto id = m_waiting[n].front();
    m_waiting[n].pop_front();
    return id;
}

void SearchPath::wake(catalog::UpstreamId upstream, Actions& actions, base::TimePoint now)
{
    auto catalog = m_shared.catalog.load();
    const auto* known = catalog::findUpstream(*catalog, upstream);
    while (known && routing::hasFreeSlot(m_shared.upstreams, *known)) {
        auto id = nextWaiting(upstream);
        if (!id)
            return;
        Searches::accessor accessor;
        if (!m_searches.find(accessor, *id))
            continue;
        auto running = accessor->second;
        auto context = contextOf(*running);
        auto service = running->search.request.service;
        perform(accessor, query::slotFreed(running->search, context, now), actions);
        accessor.release();
        runWaiting(service, actions, now);
    }
}

Actions SearchPath::start(query::SearchRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto running = std::make_shared<RunningSearch>();
    running->search.request = std::move(request);
    running->random.seed(m_shared.seed ^ id);
    running->lastAttempt = id << attemptCounterBits;
    auto catalog = m_shared.catalog.load();
    m_shared.upstreams.catalogSeen(*catalog, now);
    auto actions = probe(id, now);
    const auto& service = running->search.request.service;
    Searches::accessor accessor;
    m_searches.insert(accessor, { id, running });
    if (m_limiter.tryAcquireOrQueue(service, id, limitOf(service)))
        run(accessor, actions, now);
    else
        actions.emplace_back(SetTimer { id, query::latestStart(running->search.request, m_shared.routing) });
    accessor.release();
    runWaiting(service, actions, now);
    return actions;
}

Actions SearchPath::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    Actions actions;
    std::string service;
    if (Searches::accessor accessor; m_searches.find(accessor, result.request)) {
        auto running = accessor->second;
        service = running->search.request.service;
        auto context = contextOf(*running);
        perform(accessor, query::attemptFinished(running->search, context, result, now), actions);
    }
    // No search is locked here, because a woken search is locked in turn.
    wake(result.upstream, actions, now);
    if (!service.empty())
        runWaiting(service, actions, now);
    return actions;
}

Actions SearchPath::probe(routing::RequestId id, base::TimePoint now)
{
    Actions actions;
    for (auto& probe : routing::dueProbes(m_shared.upstreams, *m_shared.catalog.load(), id, m_lastProbe, now))
        actions.emplace_back(SendAttempt { std::move(probe) });
    return actions;
}

Actions SearchPath::timerExpired(routing::RequestId id, base::TimePoint now)
{
    Actions actions;
    Searches::accessor accessor;
    if (!m_searches.find(accessor, id))
        return actions;
    auto running = accessor->second;
    auto service = running->search.request.service;
    auto context = contextOf(*running);
    if (running->isRunning)
        perform(accessor, query::timerExpired(running->search, context, now), actions);
    else
        perform(accessor, query::refuseWaiting(running->search, context, now), actions);
    accessor.release();
    runWaiting(service, actions, now);
    return actions;
}

}
