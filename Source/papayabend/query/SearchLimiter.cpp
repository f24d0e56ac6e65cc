#include "papayabend/query/SearchLimiter.h"

#include <algorithm>
#include <limits>

namespace papayabend::query {

uint32_t searchLimit(routing::UpstreamTable& table, const catalog::Catalog& catalog, const catalog::Service& service)
{
    constexpr auto unlimited = std::numeric_limits<uint32_t>::max();
    const auto& settings = table.settings();
    if (!settings.limitInFlight || service.snapshots.empty())
        return unlimited;
    auto lowestLimit = unlimited;
    for (const auto& shard : service.snapshots.front().shards) {
        uint32_t shardLimit = 0;
        for (auto id : shard.replicas) {
            const auto* upstream = catalog::findUpstream(catalog, id);
            const auto& state = table.state(id);
            if (upstream && !upstream->isLeaving && !state.isDraining.load() && !state.isUnreachable.load())
                shardLimit += routing::inFlightLimit(table, *upstream);
        }
        // A shard without an available replica sets no limit, because searches are answered without it.
        if (shardLimit > 0)
            lowestLimit = std::min(lowestLimit, shardLimit);
    }
    return lowestLimit == unlimited ? unlimited
                                    : std::max(1U, static_cast<uint32_t>(settings.searchesPerCall * lowestLimit));
}

bool SearchLimiter::tryAcquireOrQueue(const std::string& service, routing::RequestId id, uint32_t limit)
{
    std::scoped_lock lock(m_mutex);
    auto& it = m_services[service];
    if (it.running < limit && it.waiting.empty()) {
        ++it.running;
        return true;
    }
    it.waiting.push_back(id);
    return false;
}

void SearchLimiter::release(const std::string& service)
{
    std::scoped_lock lock(m_mutex);
    --m_services[service].running;
}

std::optional<routing::RequestId> SearchLimiter::next(const std::string& service, uint32_t limit)
{
    std::scoped_lock lock(m_mutex);
    auto& it = m_services[service];
    if (it.running >= limit || it.waiting.empty())
        return std::nullopt;
    ++it.running;
    routing::RequestId id = 0;
    if (it.waiting.size() > limit) {
        id = it.waiting.back();
        it.waiting.pop_back();
    } else {
        id = it.waiting.front();
        it.waiting.pop_front();
    }
    return id;
}

}
