#include "replay/Internal.h"

#include <algorithm>

namespace papayabend::replay {

namespace {

    const Platform::Value* visibleValue(const Platform& platform, const std::string& key)
    {
        const auto& values = platform.isStale ? platform.staleValues : platform.values;
        auto it = values.find(key);
        return it == values.end() ? nullptr : &it->second;
    }

    /** Answers a read at once if there is something to tell; otherwise it waits as a watch. */
    void serveRead(World& world, uint32_t n)
    {
        auto& platform = world.platform;
        auto& read = platform.slots[n];
        read.isWaiting = false;
        read.answer.reset();
        bool isCut = world.platformCutDomains.contains(world.hosts[read.host].domain);
        if (platform.isDown || isCut) {
            schedule(
                world, world.now + platform.retryDelay, EventKind::PlatformAnswers, read.host, n, read.hostIncarnation);
            return;
        }
        const auto* value = visibleValue(platform, read.key);
        if (!value || value->version <= read.after) {
            read.isWaiting = true;
            return;
        }
        read.answer = value->text;
        read.after = value->version;
        schedule(world, world.now + platform.delay, EventKind::PlatformAnswers, read.host, n, read.hostIncarnation);
    }

}

void readPlatform(World& world, Host& host, const std::string& key, uint64_t after)
{
    auto& platform = world.platform;
    ++platform.reads;
    platform.slots.push_back({ host.index, host.incarnation, key, after, false, {} });
    serveRead(world, static_cast<uint32_t>(platform.slots.size() - 1));
}

void platformAnswers(World& world, uint32_t n)
{
    auto& read = world.platform.slots[n];
    auto& host = world.hosts[read.host];
    auto answer = std::move(read.answer);
    auto key = read.key;
    ++world.platform.reads;
    if (answer)
        read.after = std::max(read.after, world.platform.values[key].version);
    serveRead(world, n);
    if (answer)
        perform(world, host, host.engine->valuePublished(key, *answer, world.now));
}

void setPlatformDown(World& world, bool isDown)
{
    auto& platform = world.platform;
    platform.isDown = isDown;
    if (!isDown)
        return;
    for (uint32_t n = 0; n < platform.slots.size(); ++n) {
        if (platform.slots[n].isWaiting)
            serveRead(world, n);
    }
}

void setPlatformStale(World& world, bool isStale)
{
    world.platform.isStale = isStale;
    world.platform.staleValues = world.platform.values;
    for (uint32_t n = 0; !isStale && n < world.platform.slots.size(); ++n) {
        if (world.platform.slots[n].isWaiting)
            serveRead(world, n);
    }
}

void dropSnapshot(World& world, uint32_t upstream, std::string_view service, uint64_t snapshot)
{
    world.upstreams[upstream].droppedSnapshots.emplace_back(service, snapshot);
}

}
