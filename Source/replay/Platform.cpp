#include "replay/Internal.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace papayabend::replay {

namespace {

    using engine::ReadStatus;

    void takeCatalog(Simulation& simulation, std::string_view text)
    {
        catalog::UpstreamNames names;
        base::LastReason reason;
        auto parsed = catalog::parseCatalog(text, names, reason);
        if (!parsed)
            return;
        for (const auto& it : parsed->upstreams) {
            if (simulation.upstreamsByAddress.contains(it.address))
                continue;
            Upstream upstream;
            upstream.name = it.name;
            upstream.address = it.address;
            upstream.domain = domainIndex(simulation, it.failureDomain);
            upstream.slots = it.slots;
            upstream.connectionLimit = it.connectionLimit;
            upstream.connectTime = it.connectTime;
            simulation.upstreamsByAddress.emplace(it.address, static_cast<uint32_t>(simulation.upstreams.size()));
            simulation.upstreams.push_back(std::move(upstream));
        }
        for (const auto& service : parsed->services) {
            for (const auto& snapshot : service.snapshots) {
                auto& published = simulation.publishedSnapshots[service.name][snapshot.id];
                published = {};
                for (const auto& shard : snapshot.shards) {
                    PublishedShard it { static_cast<uint32_t>(published.shards.size()), shard.units, {} };
                    std::ranges::transform(shard.replicas, std::back_inserter(it.replicas),
                        [&](catalog::UpstreamId id) { return upstreamIndex(simulation, names.name(id)); });
                    published.units += shard.units;
                    published.shards.emplace(shard.name, std::move(it));
                }
            }
        }
    }

    // Version in the text of a catalogue ("version":N) or of a table (version,N).
    std::optional<uint64_t> versionIn(std::string_view text)
    {
        auto n = text.find("version");
        if (n == std::string_view::npos)
            return std::nullopt;
        n = text.find_first_of("0123456789", n);
        uint64_t version = 0;
        if (n == std::string_view::npos
            || std::from_chars(text.data() + n, text.data() + text.size(), version).ec != std::errc {})
            return std::nullopt;
        return version;
    }

    const Platform::Value* visibleValue(const Platform& platform, const std::string& key)
    {
        const auto& values = platform.isStale ? platform.staleValues : platform.values;
        auto it = values.find(key);
        return it == values.end() ? nullptr : &it->second;
    }

    void publishHostList(Simulation& simulation)
    {
        nlohmann::json list { { "version", ++simulation.platform.hostListVersion },
            { "hosts", nlohmann::json::array() } };
        for (auto n : simulation.platform.listedHosts) {
            const auto& host = simulation.hosts[n];
            list["hosts"].push_back({ { "name", host.name }, { "callerAddress", host.callerAddress },
                { "peerAddress", host.peerAddress }, { "failureDomain", simulation.domains[host.domain] },
                { "region", "region" }, { "state", "live" } });
        }
        simulation.platform.values["hosts"] = { simulation.platform.hostListVersion, list.dump() };
    }

    void endRead(Simulation& simulation, uint32_t n, ReadStatus status, Duration delay)
    {
        auto& read = simulation.platform.slots[n];
        read.isWaiting = false;
        read.status = status;
        schedule(simulation, simulation.now + delay, EventKind::PlatformAnswers, read.host, n, read.generation);
    }

    /** Answers a read at once if there is something to tell; otherwise it waits as a watch. */
    void serveRead(Simulation& simulation, uint32_t n)
    {
        auto& platform = simulation.platform;
        auto& read = platform.slots[n];
        if (platform.isDown || simulation.platformCutDomains.contains(simulation.hosts[read.host].domain)) {
            endRead(simulation, n, ReadStatus::Failed, platform.delay);
            return;
        }
        const auto* value = visibleValue(platform, read.key);
        // A service that lost its newest values returns the older ones that it has.
        if (!value || (read.key != "hosts" && value->version == read.after)) {
            read.isWaiting = true;
            return;
        }
        read.answer = value->text;
        endRead(simulation, n, ReadStatus::Value, platform.delay);
    }

    void serveWaiting(Simulation& simulation)
    {
        for (uint32_t n = 0; n < simulation.platform.slots.size(); ++n) {
            if (simulation.platform.slots[n].isWaiting)
                serveRead(simulation, n);
        }
    }

}

void publish(Simulation& simulation, std::string_view key, std::string_view text)
{
    if (key == "catalog")
        takeCatalog(simulation, text);
    auto& value = simulation.platform.values[std::string(key)];
    value.version = versionIn(text).value_or(value.version + 1);
    value.text = text;
    serveWaiting(simulation);
}

void listHost(Simulation& simulation, uint32_t host, bool isListed)
{
    if (simulation.platform.listedHosts.contains(host) == isListed)
        return;
    auto change = [host, isListed](Simulation& later) {
        // A host that started again in the meantime stays listed.
        if (isListed)
            later.platform.listedHosts.insert(host);
        else if (!later.hosts[host].engine)
            later.platform.listedHosts.erase(host);
        publishHostList(later);
    };
    if (simulation.hosts[host].incarnation == 1 && isListed)
        change(simulation);
    else
        at(simulation, simulation.now + simulation.platform.hostListLag, change);
}

void readPlatform(Simulation& simulation, Host& host, const engine::ReadPlatform& action)
{
    auto& platform = simulation.platform;
    ++platform.reads;
    if (platform.freeSlots.empty()) {
        platform.freeSlots.push_back(static_cast<uint32_t>(platform.slots.size()));
        platform.slots.emplace_back();
    }
    auto n = platform.freeSlots.back();
    platform.freeSlots.pop_back();
    auto& read = platform.slots[n];
    read.host = host.index;
    read.hostIncarnation = host.incarnation;
    read.key = action.key;
    read.after = action.afterVersion;
    read.answer.clear();
    serveRead(simulation, n);
    if (read.isWaiting)
        schedule(simulation, simulation.now + std::max(action.wait, platform.delay), EventKind::PlatformWaitEnds,
            host.index, n, read.generation);
}

void platformWaitEnds(Simulation& simulation, uint32_t n)
{
    if (simulation.platform.slots[n].isWaiting)
        endRead(simulation, n, ReadStatus::Unchanged, Duration::zero());
}

void platformAnswers(Simulation& simulation, uint32_t n)
{
    auto& read = simulation.platform.slots[n];
    ++read.generation;
    auto answer = std::move(read.answer);
    auto key = std::move(read.key);
    auto status = read.status;
    auto& host = simulation.hosts[read.host];
    bool isSameProcess = host.engine && host.incarnation == read.hostIncarnation;
    simulation.platform.freeSlots.push_back(n);
    if (!isSameProcess)
        return;
    if (status == ReadStatus::Value && key == "hosts")
        perform(simulation, host, host.engine->hostListPublished(answer, simulation.now));
    else if (status == ReadStatus::Value)
        perform(simulation, host, host.engine->valuePublished(key, answer, simulation.now));
    perform(simulation, host, host.engine->platformReadEnded(key, status, simulation.now));
}

void setPlatformDown(Simulation& simulation, bool isDown)
{
    simulation.platform.isDown = isDown;
    serveWaiting(simulation);
}

void setPlatformStale(Simulation& simulation, bool isStale)
{
    simulation.platform.isStale = isStale;
    simulation.platform.staleValues = simulation.platform.values;
    serveWaiting(simulation);
}

void dropSnapshot(Simulation& simulation, uint32_t upstream, std::string_view service, uint64_t snapshot)
{
    simulation.upstreams[upstream].droppedSnapshots.emplace_back(service, snapshot);
}

}
