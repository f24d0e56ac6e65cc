#include "papayabend/routing/UpstreamTable.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace papayabend::routing {

UpstreamState& UpstreamTable::state(catalog::UpstreamId id)
{
    auto n = catalog::toIndex(id);
    {
        std::shared_lock lock(m_mutex);
        if (n < m_states.size())
            return m_states[n];
    }
    std::unique_lock lock(m_mutex);
    while (m_states.size() <= n)
        m_states.emplace_back();
    return m_states[n];
}

std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable& table, const catalog::Catalog& catalog,
    std::span<const catalog::UpstreamId> replicas, std::span<const catalog::UpstreamId> excluded, base::Random& random)
{
    std::vector<catalog::UpstreamId> usable;
    std::ranges::copy_if(replicas, std::back_inserter(usable), [&](catalog::UpstreamId id) {
        const auto* upstream = catalog::findUpstream(catalog, id);
        return upstream && !upstream->isLeaving && !table.state(id).isDraining.load()
            && std::ranges::find(excluded, id) == excluded.end();
    });
    if (usable.empty())
        return std::nullopt;
    std::ranges::shuffle(usable, random);
    return *std::ranges::min_element(
        usable, {}, [&](catalog::UpstreamId id) { return table.state(id).inFlight.load(); });
}

void attemptStarted(UpstreamTable& table, const Attempt& attempt)
{
    table.state(attempt.upstream).inFlight.fetch_add(1);
}

void attemptFinished(UpstreamTable& table, const AttemptResult& result)
{
    auto& state = table.state(result.upstream);
    state.inFlight.fetch_sub(1);
    if (result.status == AttemptStatus::Draining || (result.load && result.load->isDraining))
        state.isDraining.store(true);
}

}
