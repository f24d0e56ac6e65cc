#include "papayabend/settings/Settings.h"

#include "papayabend/settings/ObjectReader.h"

#include <array>
#include <fstream>
#include <iterator>

namespace papayabend::settings {

namespace {

    constexpr int64_t minute = 60'000;
    constexpr std::array<std::string_view, 4> policies { "random", "leastInFlight", "twoChoices", "affinity" };
    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };

}

// The visit functions describe the keys once, for reading and for writing. They are static rather than in the
// unnamed namespace, which argument-dependent lookup does not search.

static void visit(auto& keys, HostSettings& host)
{
    keys.name("name", host.name);
    keys.name("failureDomain", host.failureDomain);
    keys.name("region", host.region);
    keys.address("callerAddress", host.callerAddress);
    keys.address("peerAddress", host.peerAddress);
    keys.address("operatorAddress", host.operatorAddress);
}

static void visit(auto& keys, PlatformSettings& platform)
{
    keys.address("address", platform.address);
    keys.addresses("seedPeers", platform.seedPeers);
}

static void visit(auto& keys, EntrySettings& entry)
{
    keys.number("threads", entry.threads, 1, 1024);
    keys.number("queuedRequests", entry.queuedRequests, 1, 1'000'000);
    keys.number("connections", entry.connections, 1, 100'000);
    keys.number("bodyBytes", entry.bodyBytes, 256, 16 * 1024 * 1024);
    keys.number("bufferBytes", entry.bufferBytes, 64 * 1024, 1024 * 1024 * 1024);
    keys.milliseconds("idleTimeoutMs", entry.idleTimeout, 100, 60 * minute);
    keys.milliseconds("readTimeoutMs", entry.readTimeout, 10, minute);
    keys.milliseconds("writeTimeoutMs", entry.writeTimeout, 10, minute);
    keys.milliseconds("maxDeadlineMs", entry.maxDeadline, 1, 60 * minute);
}

static void visit(auto& keys, UpstreamSettings& upstreams)
{
    keys.number("connectionsPerUpstream", upstreams.connectionsPerUpstream, 1, 16);
    keys.milliseconds("connectTimeoutMs", upstreams.connectTimeout, 10, minute);
    keys.milliseconds("minReconnectDelayMs", upstreams.minReconnectDelay, 10, minute);
    keys.milliseconds("maxReconnectDelayMs", upstreams.maxReconnectDelay, 10, 10 * minute);
}

static void visit(auto& keys, RoutingSettings& routing)
{
    keys.choice("policy", routing.policy, policies);
    keys.number("connectionSharePercent", routing.connectionSharePercent, 1, 100);
}

static void visit(auto& keys, HedgingSettings& hedging)
{
    keys.flag("enabled", hedging.enabled);
    keys.fraction("budget", hedging.budget, 0, 1);
}

static void visit(auto& keys, AdmissionSettings& admission)
{
    keys.flag("enabled", admission.enabled);
    keys.number("queueLength", admission.queueLength, 1, 100'000);
}

static void visit(auto& keys, QuarantineSettings& quarantine)
{
    keys.number("crashes", quarantine.crashes, 1, 3);
    keys.milliseconds("validityMs", quarantine.validity, 1000, 24 * 60 * minute);
}

static void visit(auto& keys, StopSettings& stop)
{
    keys.milliseconds("withdrawMs", stop.withdraw, 0, 10 * minute);
    keys.milliseconds("drainMs", stop.drain, 0, 60 * minute);
    keys.milliseconds("handOverMs", stop.handOver, 0, 10 * minute);
}

static void visit(auto& keys, LogSettings& log) { keys.choice("level", log.level, logLevels); }

static void visit(auto& keys, Settings& settings)
{
    keys.section("host", settings.host);
    keys.section("platform", settings.platform);
    keys.section("entry", settings.entry);
    keys.section("operators", settings.operators);
    keys.section("upstreams", settings.upstreams);
    keys.section("routing", settings.routing);
    keys.section("hedging", settings.hedging);
    keys.section("admission", settings.admission);
    keys.section("quarantine", settings.quarantine);
    keys.section("stop", settings.stop);
    keys.section("log", settings.log);
}

std::optional<Settings> parseSettings(std::string_view text, std::string_view file, base::LastReason& reason)
{
    reason.text.clear();
    Json json;
    try {
        json = Json::parse(text, nullptr, true, true);
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string(file) + ": " + error.what());
    }
    Settings settings;
    ObjectReader reader(file, {}, json, reason);
    visit(reader, settings);
    reader.refuseUnknownKeys();
    for (const auto* section : { "host", "platform" }) {
        if (reason.text.empty() && !json.contains(section))
            reason.text = std::string(file) + ": " + section + ": is required";
    }
    if (!reason.text.empty())
        return std::nullopt;
    if (settings.upstreams.maxReconnectDelay < settings.upstreams.minReconnectDelay)
        return base::fail(reason,
            std::string(file) + ": upstreams.maxReconnectDelayMs: must be at least upstreams.minReconnectDelayMs");
    return settings;
}

std::optional<Settings> readSettings(const std::string& file, base::LastReason& reason)
{
    std::ifstream stream(file);
    if (!stream)
        return base::fail(reason, file + ": cannot be read");
    return parseSettings(std::string(std::istreambuf_iterator<char>(stream), {}), file, reason);
}

std::string toJson(const Settings& settings)
{
    Json json = Json::object();
    ObjectWriter writer(json);
    auto copy = settings;
    visit(writer, copy);
    return json.dump(2);
}

}
