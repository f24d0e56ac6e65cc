#include "replay/Internal.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace papayabend::replay {

namespace {

    using engine::ReadStatus;

    void takeCatalog(World& world, std::string_view text)
    {
        catalog::UpstreamNames names;
        base::LastReason reason;
        auto parsed = catalog::parseCatalog(text, names, reason);
        if (!parsed)
            return;
        for (const auto& it : parsed->upstreams) {
            if (world.upstreamsByAddress.contains(it.address))
                continue;
            Upstream upstream;
            upstream.name = it.name;
            upstream.address = it.address;
            upstream.domain = domainIndex(world, it.failureDomain);
            upstream.slots = it.slots;
            upstream.connectionLimit = it.connectionLimit;
            upstream.connectTime = it.connectTime;
            world.upstreamsByAddress.emplace(it.address, static_cast<uint32_t>(world.upstreams.size()));
            world.upstreams.push_back(std::move(upstream));
        }
        for (const auto& service : parsed->services) {
            for (const auto& snapshot : service.snapshots) {
                auto& truth = world.truth[service.name][snapshot.id];
                truth = {};
                for (const auto& shard : snapshot.shards) {
                    TrueShard it { static_cast<uint32_t>(truth.shards.size()), shard.units, {} };
                    std::ranges::transform(shard.replicas, std::back_inserter(it.replicas),
                        [&](catalog::UpstreamId id) { return upstreamIndex(world, names.name(id)); });
                    truth.units += shard.units;
                    truth.shards.emplace(shard.name, std::move(it));
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

    void publishHostList(World& world)
    {
        nlohmann::json list { { "version", ++world.platform.hostListVersion }, { "hosts", nlohmann::json::array() } };
        for (auto n : world.platform.listedHosts) {
            const auto& host = world.hosts[n];
            list["hosts"].push_back(
                { { "name", host.name }, { "callerAddress", host.callerAddress }, { "peerAddress", host.peerAddress },
                    { "failureDomain", world.domains[host.domain] }, { "region", "region" }, { "state", "live" } });
        }
        world.platform.values["hosts"] = { world.platform.hostListVersion, list.dump() };
    }

    void endRead(World& world, uint32_t n, ReadStatus status, Duration delay)
    {
        auto& read = world.platform.slots[n];
        read.isWaiting = false;
        read.status = status;
        schedule(world, world.now + delay, EventKind::PlatformAnswers, read.host, n, read.generation);
    }

    /** Answers a read at once if there is something to tell; otherwise it waits as a watch. */
    void serveRead(World& world, uint32_t n)
    {
        auto& platform = world.platform;
        auto& read = platform.slots[n];
        if (platform.isDown || world.platformCutDomains.contains(world.hosts[read.host].domain)) {
            endRead(world, n, ReadStatus::Failed, platform.delay);
            return;
        }
        const auto* value = visibleValue(platform, read.key);
        if (!value || (read.key != "hosts" && value->version <= read.after)) {
            read.isWaiting = true;
            return;
        }
        read.answer = value->text;
        endRead(world, n, ReadStatus::Value, platform.delay);
    }

    void serveWaiting(World& world)
    {
        for (uint32_t n = 0; n < world.platform.slots.size(); ++n) {
            if (world.platform.slots[n].isWaiting)
                serveRead(world, n);
        }
    }

}

void publish(World& world, std::string_view key, std::string_view text)
{
    if (key == "catalog")
        takeCatalog(world, text);
    auto& value = world.platform.values[std::string(key)];
    value.version = versionIn(text).value_or(value.version + 1);
    value.text = text;
    serveWaiting(world);
}

void listHost(World& world, uint32_t host, bool isListed)
{
    if (world.platform.listedHosts.contains(host) == isListed)
        return;
    auto change = [host, isListed](World& later) {
        // A host that started again in the meantime stays listed.
        if (isListed)
            later.platform.listedHosts.insert(host);
        else if (!later.hosts[host].engine)
            later.platform.listedHosts.erase(host);
        publishHostList(later);
    };
    if (world.hosts[host].incarnation == 1 && isListed)
        change(world);
    else
        at(world, world.now + world.platform.hostListLag, change);
}

void readPlatform(World& world, Host& host, const engine::ReadPlatform& action)
{
    auto& platform = world.platform;
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
    serveRead(world, n);
    if (read.isWaiting)
        schedule(world, world.now + std::max(action.wait, platform.delay), EventKind::PlatformWaitEnds, host.index, n,
            read.generation);
}

void platformWaitEnds(World& world, uint32_t n)
{
    if (world.platform.slots[n].isWaiting)
        endRead(world, n, ReadStatus::Unchanged, Duration::zero());
}

void platformAnswers(World& world, uint32_t n)
{
    auto& read = world.platform.slots[n];
    ++read.generation;
    auto answer = std::move(read.answer);
    auto key = std::move(read.key);
    auto status = read.status;
    auto& host = world.hosts[read.host];
    bool isSameProcess = host.engine && host.incarnation == read.hostIncarnation;
    world.platform.freeSlots.push_back(n);
    if (!isSameProcess)
        return;
    if (status == ReadStatus::Value && key == "hosts")
        perform(world, host, host.engine->hostListPublished(answer, world.now));
    else if (status == ReadStatus::Value)
        perform(world, host, host.engine->valuePublished(key, answer, world.now));
    perform(world, host, host.engine->platformReadEnded(key, status, world.now));
}

void setPlatformDown(World& world, bool isDown)
{
    world.platform.isDown = isDown;
    serveWaiting(world);
}

void setPlatformStale(World& world, bool isStale)
{
    world.platform.isStale = isStale;
    world.platform.staleValues = world.platform.values;
    serveWaiting(world);
}

void dropSnapshot(World& world, uint32_t upstream, std::string_view service, uint64_t snapshot)
{
    world.upstreams[upstream].droppedSnapshots.emplace_back(service, snapshot);
}

}
