#include "papayabend/routing/ServingSet.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <ranges>

namespace papayabend::routing {

namespace {

    void appendUpstreams(std::vector<catalog::UpstreamId>& upstreams, const catalog::Service& service)
    {
        upstreams.insert(upstreams.end(), service.pool.begin(), service.pool.end());
        for (const auto& snapshot : service.snapshots) {
            for (const auto& shard : snapshot.shards)
                upstreams.insert(upstreams.end(), shard.replicas.begin(), shard.replicas.end());
        }
    }

}

uint32_t servingSetSize(const catalog::Catalog& catalog, const catalog::Service& service, uint32_t connectionsPerHost,
    double connectionShare)
{
    std::vector<catalog::UpstreamId> upstreams;
    appendUpstreams(upstreams, service);
    uint32_t limit = 0;
    for (auto id : upstreams) {
        const auto* upstream = catalog::findUpstream(catalog, id);
        if (upstream && (limit == 0 || upstream->connectionLimit < limit))
            limit = upstream->connectionLimit;
    }
    auto connections = std::floor(connectionShare * limit);
    return std::max(1U, static_cast<uint32_t>(connections / std::max(connectionsPerHost, 1U)));
}

std::vector<std::string> servingHosts(std::string_view service, std::span<const ServingHost> hosts, uint32_t size)
{
    std::vector<std::string> chosen;
    if (hosts.size() <= size) {
        std::ranges::transform(hosts, std::back_inserter(chosen), &ServingHost::name);
        std::ranges::sort(chosen);
        return chosen;
    }
    std::map<std::string, std::vector<std::pair<uint64_t, std::string>>> domains;
    for (const auto& host : hosts)
        domains[host.failureDomain].emplace_back(base::rendezvousScore(service, host.name), host.name);
    // If there are more domains than hosts to choose, the rendezvous hash also decides which domains get one.
    std::vector<std::pair<uint64_t, std::string>> domainOrder;
    for (auto& [name, members] : domains) {
        std::ranges::sort(members, std::greater {});
        domainOrder.emplace_back(base::rendezvousScore(service, name), name);
    }
    std::ranges::sort(domainOrder, std::greater {});
    for (size_t rank = 0; chosen.size() < size; ++rank) {
        for (const auto& [score, name] : domainOrder) {
            const auto& members = domains[name];
            if (rank < members.size() && chosen.size() < size)
                chosen.push_back(members[rank].second);
        }
    }
    std::ranges::sort(chosen);
    return chosen;
}

}
