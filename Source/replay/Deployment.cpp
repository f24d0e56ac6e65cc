#include "replay/Deployment.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace papayabend::replay {

namespace {

    using Json = nlohmann::json;

    constexpr uint64_t unitsPerShard = 10'000;
    constexpr auto startUpTime = std::chrono::seconds(4);

    ServiceShape sharded(std::string name, uint32_t shards, Duration median)
    {
        ServiceShape shape;
        shape.name = std::move(name);
        shape.shards = shards;
        shape.serviceTime.median = median;
        return shape;
    }

    ServiceShape pooled(std::string name, uint32_t upstreams, uint32_t slots, uint32_t connectionLimit)
    {
        ServiceShape shape;
        shape.name = std::move(name);
        shape.upstreams = upstreams;
        shape.slots = slots;
        shape.connectionLimit = connectionLimit;
        shape.connectTime = Duration(1'000);
        shape.serviceTime.median = Duration(8'000);
        return shape;
    }

    uint32_t groupsOf(const ServiceShape& shape) { return std::max(shape.shards, 1U); }

}

Deployment muscat()
{
    return { "muscat", { "ruwi", "seeb", "qurum" }, Duration(5'000), Duration(1'000), 6, "muscat",
        { sharded("fitting-desk", 20, Duration(5'000)), sharded("stitch-log", 30, Duration(5'000)),
            pooled("depot-counter", 5, 6, 110), pooled("leather-stock", 3, 6, 110) } };
}

Deployment sul()
{
    return { "sul", { "sul-poa", "sul-cwb", "sul-fln", "sul-jvl" }, Duration(4'000), Duration(3'000), 8, "sul",
        { sharded("painel", 20, Duration(8'000)), sharded("conciliador", 30, Duration(8'000)),
            pooled("faturas", 7, 3, 40), pooled("ingestor", 4, 3, 40) } };
}

const ServiceShape& shapeOf(const Deployment& deployment, const std::string& name)
{
    auto it = std::ranges::find(deployment.services, name, &ServiceShape::name);
    if (it == deployment.services.end())
        throw std::out_of_range("no service " + name);
    return *it;
}

std::string upstreamName(const ServiceShape& shape, uint32_t shard, uint32_t replica)
{
    if (shape.shards == 0)
        return shape.name + "-" + std::to_string(replica);
    return shape.name + "-" + std::to_string(shard) + "-" + std::to_string(replica);
}

std::string catalogText(const Deployment& deployment, uint64_t version, uint64_t snapshot)
{
    Json catalog { { "version", version }, { "upstreams", Json::array() }, { "services", Json::array() } };
    for (size_t s = 0; s < deployment.services.size(); ++s) {
        const auto& shape = deployment.services[s];
        Json shards = Json::array();
        Json pool = Json::array();
        for (uint32_t group = 0; group < groupsOf(shape); ++group) {
            Json replicas = Json::array();
            for (uint32_t n = 0; n < shape.upstreams; ++n) {
                auto name = upstreamName(shape, group, n);
                auto address = "10." + std::to_string(s) + "." + std::to_string(group) + "." + std::to_string(n + 1);
                catalog["upstreams"].push_back({ { "name", name }, { "address", address + ":7000" },
                    { "failureDomain", deployment.domains[(group + n) % deployment.domains.size()] },
                    { "slots", shape.slots }, { "connectionLimit", shape.connectionLimit },
                    { "connectTimeUs", shape.connectTime.count() } });
                replicas.push_back(name);
                pool.push_back(name);
            }
            shards.push_back(
                { { "name", "s" + std::to_string(group) }, { "units", unitsPerShard }, { "replicas", replicas } });
        }
        Json service { { "name", shape.name } };
        if (shape.shards == 0)
            service["pool"] = pool;
        else
            service["snapshots"] = Json::array({ { { "id", snapshot }, { "shards", shards } } });
        catalog["services"].push_back(std::move(service));
    }
    return catalog.dump();
}

std::string tableText(const Deployment& deployment, const std::vector<std::string>& accounts, uint64_t version)
{
    auto text = "version," + std::to_string(version) + "\naccount";
    for (const auto& shape : deployment.services)
        text += "," + shape.name;
    for (const auto& account : accounts) {
        text += "\n" + account;
        for (size_t n = 0; n < deployment.services.size(); ++n)
            text += ",weight=1";
    }
    return text + "\n";
}

Duration meanServiceTime(const ServiceTime& time)
{
    double factor = std::exp(time.sigma * time.sigma / 2);
    factor *= 1 + time.stragglerShare * (time.stragglerFactor - 1);
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.median.count()) * factor));
}

double capacityOf(const ServiceShape& shape)
{
    double seconds = static_cast<double>(meanServiceTime(shape.serviceTime).count()) / 1e6;
    return static_cast<double>(shape.slots) * shape.upstreams / seconds;
}

void setUp(Simulation& simulation, const Deployment& deployment)
{
    simulation.remoteDelay = deployment.remoteDelay;
    simulation.callerDelay = deployment.callerDelay;
    for (const auto& shape : deployment.services)
        simulation.serviceTimes[shape.name] = shape.serviceTime;
    publish(simulation, "catalog", catalogText(deployment));
    if (!simulation.platform.values.contains("table"))
        publish(simulation, "table", tableText(deployment, { deployment.account }));
    for (uint32_t n = 0; n < deployment.hosts; ++n) {
        const auto& domain = deployment.domains[n % deployment.domains.size()];
        addHost(simulation, domain + "-" + std::to_string(n / deployment.domains.size() + 1), domain);
    }
    for (uint32_t n = 0; n < deployment.hosts; ++n)
        startHost(simulation, n);
    run(simulation, simulation.now + startUpTime);
}

}
