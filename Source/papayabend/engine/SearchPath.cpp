#include "papayabend/engine/SearchPath.h"

#include <limits>
#include <utility>

namespace papayabend::engine {

namespace {

    // An attempt number consists of the request number and a counter in the low bits, so that it is unique in the
    // process.
    constexpr unsigned attemptCounterBits = 16;
    // Probes belong to no request; their attempt numbers start above those of all requests.
    constexpr routing::AttemptId firstProbe = routing::AttemptId { 1 } << 63;

}

SearchPath::SearchPath(SharedState& shared)
    : m_shared(shared)
    , m_lastProbe(firstProbe)
{
}

query::SearchContext SearchPath::makeContext(OpenSearch& entry)
{
    return { m_shared.upstreams, m_shared.routing, m_shared.catalog.load(), entry.random, entry.lastAttempt };
}

void SearchPath::applyStep(Searches::accessor& accessor, query::SearchStep&& step, Actions& actions)
{
    auto id = accessor->first;
    for (auto attempt : step.cancel)
        actions.emplace_back(CancelAttempt { attempt });
    for (const auto& notice : step.notices)
        m_shared.quarantineNotices.push({ accessor->second->search.request.service, notice });
    enqueueForSlots(step.waitFor, id);
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

uint32_t SearchPath::runningLimit(const std::string& service)
{
    auto catalog = m_shared.catalog.load();
    const auto* known = catalog::findService(*catalog, service);
    // An unknown service is refused at once and needs no limit.
    return known ? query::searchLimit(m_shared.upstreams, *catalog, *known) : std::numeric_limits<uint32_t>::max();
}

void SearchPath::run(Searches::accessor& accessor, Actions& actions, base::TimePoint now)
{
    auto entry = accessor->second;
    entry->isRunning = true;
    entry->search.catalog = m_shared.catalog.load();
    auto context = makeContext(*entry);
    applyStep(accessor, query::startSearch(entry->search, context, now), actions);
}

void SearchPath::runWaiting(const std::string& service, Actions& actions, base::TimePoint now)
{
    auto limit = runningLimit(service);
    while (auto id = m_limiter.next(service, limit)) {
        Searches::accessor accessor;
        if (m_searches.find(accessor, *id))
            run(accessor, actions, now);
        else
            m_limiter.release(service);
    }
}

void SearchPath::enqueueForSlots(const std::vector<catalog::UpstreamId>& upstreams, routing::RequestId id)
{
    if (upstreams.empty())
        return;
    std::scoped_lock lock(m_slotQueuesMutex);
    for (auto upstream : upstreams) {
        auto n = catalog::toIndex(upstream);
        if (n >= m_slotQueues.size())
            m_slotQueues.resize(n + 1);
        m_slotQueues[n].push_back(id);
    }
}

std::optional<routing::RequestId> SearchPath::dequeueForSlot(catalog::UpstreamId upstream)
{
    std::scoped_lock lock(m_slotQueuesMutex);
    auto n = catalog::toIndex(upstream);
    if (n >= m_slotQueues.size() || m_slotQueues[n].empty())
        return std::nullopt;
    auto id = m_slotQueues[n].front();
    m_slotQueues[n].pop_front();
    return id;
}

void SearchPath::assignFreeSlots(catalog::UpstreamId upstream, Actions& actions, base::TimePoint now)
{
    auto catalog = m_shared.catalog.load();
    const auto* known = catalog::findUpstream(*catalog, upstream);
    while (known && routing::hasFreeSlot(m_shared.upstreams, *known)) {
        auto id = dequeueForSlot(upstream);
        if (!id)
            return;
        Searches::accessor accessor;
        if (!m_searches.find(accessor, *id))
            continue;
        auto entry = accessor->second;
        auto context = makeContext(*entry);
        auto service = entry->search.request.service;
        applyStep(accessor, query::slotFreed(entry->search, context, now), actions);
        accessor.release();
        runWaiting(service, actions, now);
    }
}

Actions SearchPath::start(query::SearchRequest request, base::TimePoint now)
{
    auto id = request.id;
    auto entry = std::make_shared<OpenSearch>();
    entry->search.request = std::move(request);
    entry->random.seed(m_shared.seed ^ id);
    entry->lastAttempt = id << attemptCounterBits;
    auto catalog = m_shared.catalog.load();
    m_shared.upstreams.catalogSeen(*catalog, now);
    auto actions = sendDueProbes(id, now);
    const auto& service = entry->search.request.service;
    Searches::accessor accessor;
    m_searches.insert(accessor, { id, entry });
    if (m_limiter.tryAcquireOrQueue(service, id, runningLimit(service)))
        run(accessor, actions, now);
    else
        actions.emplace_back(SetTimer { id, query::latestStart(entry->search.request, m_shared.routing) });
    accessor.release();
    runWaiting(service, actions, now);
    return actions;
}

Actions SearchPath::attemptFinished(const routing::AttemptResult& result, base::TimePoint now)
{
    Actions actions;
    std::string service;
    if (Searches::accessor accessor; m_searches.find(accessor, result.request)) {
        auto entry = accessor->second;
        service = entry->search.request.service;
        auto context = makeContext(*entry);
        applyStep(accessor, query::attemptFinished(entry->search, context, result, now), actions);
    }
    // The accessor is released here, because assignFreeSlots() locks other searches.
    assignFreeSlots(result.upstream, actions, now);
    if (!service.empty())
        runWaiting(service, actions, now);
    return actions;
}

Actions SearchPath::sendDueProbes(routing::RequestId id, base::TimePoint now)
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
    auto entry = accessor->second;
    auto service = entry->search.request.service;
    auto context = makeContext(*entry);
    if (entry->isRunning)
        applyStep(accessor, query::timerExpired(entry->search, context, now), actions);
    else
        applyStep(accessor, query::refuseWaiting(entry->search, context, now), actions);
    accessor.release();
    runWaiting(service, actions, now);
    return actions;
}

}
