#include "standin/Deployment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayabend::standin {

namespace {

    using Json = nlohmann::ordered_json;

    struct ShapeRow {
        const char* service;
        bool isPool;
        uint32_t members; /**< Shards, or upstreams of a pool. */
        uint32_t slots;
        uint32_t connectionLimit;
        base::Duration connectTime;
    };

    constexpr base::Duration slowConnect { 6000 };
    constexpr base::Duration fastConnect { 1000 };

    // Sizes of section 1 of docs/design.md.
    const std::vector<ShapeRow> muscatRows { { "fitting-desk", false, 20, 2, 25, slowConnect },
        { "stitch-log", false, 30, 2, 25, slowConnect }, { "depot-counter", true, 5, 6, 110, fastConnect },
        { "leather-stock", true, 3, 6, 110, fastConnect } };
    const std::vector<ShapeRow> sulRows { { "painel", false, 20, 2, 25, slowConnect },
        { "conciliador", false, 30, 2, 25, slowConnect }, { "faturas", true, 7, 3, 40, fastConnect },
        { "ingestor", true, 4, 3, 40, fastConnect } };
    const std::vector<std::string> muscatDomains { "ruwi", "seeb", "qurum" };
    const std::vector<std::string> sulDomains { "sul-poa", "sul-cwb", "sul-fln", "sul-jvl" };

    constexpr size_t replicasPerShard = 2;
    constexpr size_t keptSnapshots = 2;

}

Deployment makeDeployment(const StandinSettings& settings)
{
    auto isMuscat = settings.deployment == "muscat";
    const auto& domains = isMuscat ? muscatDomains : sulDomains;
    Deployment deployment;
    deployment.unitsPerShard = settings.unitsPerShard;
    for (const auto& row : isMuscat ? muscatRows : sulRows) {
        ServiceShape service { row.service, row.isPool, {}, {} };
        auto members = std::max<size_t>(2, row.members * settings.scalePercent / 100);
        for (size_t n = 0; n < members; ++n) {
            for (size_t replica = 0; replica < (row.isPool ? 1 : replicasPerShard); ++replica) {
                auto name = std::string(row.service) + "-" + std::to_string(n)
                    + (row.isPool     ? ""
                            : replica ? "b"
                                      : "a");
                service.upstreams.push_back(deployment.upstreams.size());
                deployment.upstreams.push_back({ name, domains[(n + replica) % domains.size()], row.slots,
                    row.connectionLimit, row.connectTime, {} });
            }
        }
        if (!row.isPool)
            service.snapshots = { { 1, members } };
        deployment.services.push_back(std::move(service));
    }
    return deployment;
}

std::string shardName(size_t n) { return "s" + std::to_string(n); }

std::vector<size_t> replicasOf(const ServiceShape& service, size_t n, size_t shards)
{
    auto groups = service.upstreams.size() / replicasPerShard;
    auto group = n * groups / shards;
    return { service.upstreams[replicasPerShard * group], service.upstreams[replicasPerShard * group + 1] };
}

uint64_t unitsOf(const Deployment& deployment, const ServiceShape& service, size_t n, size_t shards)
{
    auto total = deployment.unitsPerShard * service.upstreams.size() / replicasPerShard;
    return total * (n + 1) / shards - total * n / shards;
}

void addSnapshot(Deployment& deployment, std::string_view name, size_t shards)
{
    auto it = std::ranges::find(deployment.services, name, &ServiceShape::name);
    if (it == deployment.services.end() || it->isPool)
        return;
    auto groups = it->upstreams.size() / replicasPerShard;
    it->snapshots.insert(
        it->snapshots.begin(), { it->snapshots.front().first + 1, std::max<size_t>(shards ? shards : groups, 1) });
    if (it->snapshots.size() > keptSnapshots)
        it->snapshots.resize(keptSnapshots);
    ++deployment.catalogVersion;
}

Holdings holdingsOf(const Deployment& deployment, size_t upstream)
{
    Holdings holdings;
    for (const auto& service : deployment.services) {
        if (service.isPool && std::ranges::find(service.upstreams, upstream) != service.upstreams.end())
            holdings[{ service.name, 0 }];
        for (auto [id, shards] : service.snapshots) {
            for (size_t n = 0; n < shards; ++n) {
                auto replicas = replicasOf(service, n, shards);
                if (std::ranges::find(replicas, upstream) != replicas.end())
                    holdings[{ service.name, id }][shardName(n)] = unitsOf(deployment, service, n, shards);
            }
        }
    }
    return holdings;
}

std::string catalogOf(const Deployment& deployment)
{
    auto names = [&](const std::vector<size_t>& numbers) {
        Json list = Json::array();
        std::ranges::transform(
            numbers, std::back_inserter(list), [&](size_t n) { return Json(deployment.upstreams[n].name); });
        return list;
    };
    Json catalog { { "version", deployment.catalogVersion }, { "upstreams", Json::array() },
        { "services", Json::array() } };
    for (const auto& it : deployment.upstreams)
        catalog["upstreams"].push_back({ { "name", it.name }, { "address", it.address },
            { "failureDomain", it.failureDomain }, { "slots", it.slots }, { "connectionLimit", it.connectionLimit },
            { "connectTimeUs", it.connectTime.count() } });
    for (const auto& service : deployment.services) {
        Json json { { "name", service.name } };
        if (service.isPool) {
            json["pool"] = names(service.upstreams);
        } else {
            json["snapshots"] = Json::array();
            for (auto [id, shards] : service.snapshots) {
                Json list = Json::array();
                for (size_t n = 0; n < shards; ++n)
                    list.push_back({ { "name", shardName(n) }, { "units", unitsOf(deployment, service, n, shards) },
                        { "replicas", names(replicasOf(service, n, shards)) } });
                json["snapshots"].push_back({ { "id", id }, { "shards", std::move(list) } });
            }
        }
        catalog["services"].push_back(std::move(json));
    }
    return catalog.dump(1);
}

}
