#include "papayabend/catalog/Catalog.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <ranges>

namespace papayabend::catalog {

namespace {

    using Json = nlohmann::json;

    Upstream parseUpstream(const Json& json, UpstreamNames& names)
    {
        Upstream upstream;
        upstream.name = json.at("name").get<std::string>();
        upstream.id = names.intern(upstream.name);
        upstream.address = json.at("address").get<std::string>();
        upstream.failureDomain = json.at("failureDomain").get<std::string>();
        upstream.slots = json.at("slots").get<uint32_t>();
        upstream.connectionLimit = json.at("connectionLimit").get<uint32_t>();
        upstream.connectTime = base::Duration(json.value("connectTimeUs", 0));
        upstream.isLeaving = json.value("leaving", false);
        return upstream;
    }

    std::vector<UpstreamId> parseReplicas(const Json& json, UpstreamNames& names)
    {
        std::vector<UpstreamId> replicas;
        std::ranges::transform(json, std::back_inserter(replicas),
            [&](const Json& name) { return names.intern(name.get<std::string>()); });
        return replicas;
    }

    Shard parseShard(const Json& json, UpstreamNames& names)
    {
        return { json.at("name").get<std::string>(), json.at("units").get<uint64_t>(),
            parseReplicas(json.at("replicas"), names) };
    }

    Snapshot parseSnapshot(const Json& json, UpstreamNames& names)
    {
        Snapshot snapshot { json.at("id").get<uint64_t>(), {} };
        std::ranges::transform(json.at("shards"), std::back_inserter(snapshot.shards),
            [&](const Json& shard) { return parseShard(shard, names); });
        return snapshot;
    }

    Service parseService(const Json& json, UpstreamNames& names)
    {
        Service service;
        service.name = json.at("name").get<std::string>();
        if (json.contains("pool")) {
            service.kind = ServiceKind::Pooled;
            service.pool = parseReplicas(json.at("pool"), names);
            return service;
        }
        std::ranges::transform(json.at("snapshots"), std::back_inserter(service.snapshots),
            [&](const Json& snapshot) { return parseSnapshot(snapshot, names); });
        std::ranges::sort(service.snapshots, std::greater {}, &Snapshot::id);
        return service;
    }

}

std::optional<Catalog> parseCatalog(std::string_view text, UpstreamNames& names, base::LastReason& reason)
{
    try {
        auto json = Json::parse(text);
        Catalog catalog;
        catalog.version = json.at("version").get<uint64_t>();
        catalog.contentHash = base::hash(text);
        for (const auto& it : json.at("upstreams"))
            catalog.upstreams.push_back(parseUpstream(it, names));
        std::ranges::sort(catalog.upstreams, {}, &Upstream::id);
        for (const auto& it : json.at("services"))
            catalog.services.push_back(parseService(it, names));
        return catalog;
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string("catalogue is not valid: ") + error.what());
    }
}

const Service* findService(const Catalog& catalog, std::string_view name)
{
    auto it = std::ranges::find(catalog.services, name, &Service::name);
    return it == catalog.services.end() ? nullptr : &*it;
}

const Upstream* findUpstream(const Catalog& catalog, UpstreamId id)
{
    auto it = std::ranges::lower_bound(catalog.upstreams, id, {}, &Upstream::id);
    return it == catalog.upstreams.end() || it->id != id ? nullptr : &*it;
}

}
