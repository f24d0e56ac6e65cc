#include "standin/StandinSettings.h"

#include "papayabend/settings/ObjectReader.h"

#include <array>
#include <fstream>
#include <iterator>

namespace papayabend::standin {

namespace {

    constexpr int64_t hour = 3'600'000;
    constexpr std::array<std::string_view, 2> deployments { "muscat", "sul" };

}

// The visit functions describe the keys. They are found by argument-dependent lookup.

static void visit(settings::ObjectReader& keys, Behaviour& it)
{
    keys.milliseconds("serviceTimeMs", it.serviceTime, 0, hour);
    keys.fraction("serviceTimeSigma", it.serviceTimeSigma, 0, 3);
    keys.fraction("stragglerShare", it.stragglerShare, 0, 1);
    keys.fraction("stragglerFactor", it.stragglerFactor, 1, 10'000);
    keys.fraction("failureShare", it.failureShare, 0, 1);
    keys.number("queueLength", it.queueLength, 0, 100'000);
    keys.milliseconds("coldStartMs", it.coldStart, 0, hour);
    keys.fraction("coldFactor", it.coldFactor, 1, 1000);
    keys.milliseconds("restartMs", it.restart, 0, hour);
    keys.flag("draining", it.isDraining);
    keys.flag("down", it.isDown);
    keys.flag("misleadsOnLoad", it.misleadsOnLoad);
    keys.flag("honoursCancellation", it.honoursCancellation);
    keys.flag("honoursDeadline", it.honoursDeadline);
}

static void visit(settings::ObjectReader& keys, PlatformBehaviour& it)
{
    keys.number("readsPerSecond", it.readsPerSecond, 1, 1'000'000);
    keys.flag("down", it.isDown);
    keys.flag("stale", it.isStale);
    keys.milliseconds("hostListLagMs", it.hostListLag, 0, hour);
}

static void visit(settings::ObjectReader& keys, StandinSettings& it)
{
    keys.choice("deployment", it.deployment, deployments);
    keys.number("scalePercent", it.scalePercent, 1, 100);
    keys.number("platformPort", it.platformPort, 0, 65535);
    keys.number("platformThreads", it.platformThreads, 1, 1024);
    keys.number("firstUpstreamPort", it.firstUpstreamPort, 0, 65000);
    keys.number("unitsPerShard", it.unitsPerShard, 1, 1'000'000'000);
    keys.number("seed", it.seed, 0, UINT32_MAX);
    keys.name("folder", it.folder);
    keys.section("upstreams", it.upstreams);
    keys.section("platform", it.platform);
}

template <typename T>
static bool read(T& target, std::string_view text, std::string_view file, base::LastReason& reason)
{
    reason.text.clear();
    settings::Json json;
    try {
        json = settings::Json::parse(text, nullptr, true, true);
    } catch (const settings::Json::exception& error) {
        reason.text = std::string(file) + ": " + error.what();
        return false;
    }
    auto copy = target;
    settings::ObjectReader reader(file, {}, json, reason);
    visit(reader, copy);
    reader.refuseUnknownKeys();
    if (!reason.text.empty())
        return false;
    target = std::move(copy);
    return true;
}

std::optional<StandinSettings> readSettings(const std::string& file, base::LastReason& reason)
{
    std::ifstream stream(file);
    if (!stream)
        return base::fail(reason, file + ": cannot be read");
    StandinSettings settings;
    if (!read(settings, std::string(std::istreambuf_iterator<char>(stream), {}), file, reason))
        return std::nullopt;
    return settings;
}

bool change(Behaviour& behaviour, std::string_view text, base::LastReason& reason)
{
    return read(behaviour, text, "request", reason);
}

bool change(PlatformBehaviour& behaviour, std::string_view text, base::LastReason& reason)
{
    return read(behaviour, text, "request", reason);
}

}
