#include "papayabend/settings/Settings.h"

#include "papayabend/settings/DescribedFile.h"

#include <array>

namespace papayabend::settings {

namespace {

    constexpr int64_t minute = 60'000;
    constexpr std::array<std::string_view, 4> policies { "random", "leastInFlight", "twoChoices", "affinity" };
    // In the order of routing::CanaryMode.
    constexpr std::array<std::string_view, 3> canaryModes { "off", "afterCrash", "always" };
    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };

}

// Each visit function describes the keys of a section for both reading and writing. They are static rather than in
// the unnamed namespace, which argument-dependent lookup does not search.

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

static void visit(auto& keys, HttpServerSettings& entry)
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

static void visit(auto& keys, routing::HedgingSettings& hedging)
{
    keys.flag("enabled", hedging.enabled);
    keys.fraction("quantile", hedging.quantile, 0.5, 0.9999);
    keys.fraction("budget", hedging.budget, 0, 1);
    keys.milliseconds("windowMs", hedging.window, 100, 10 * minute);
    keys.milliseconds("minDelayMs", hedging.minDelay, 0, minute);
    keys.milliseconds("initialDelayMs", hedging.initialDelay, 0, minute);
    keys.fraction("overloadShare", hedging.overloadShare, 0, 1);
}

static void visit(auto& keys, routing::RetrySettings& retries)
{
    keys.fraction("budget", retries.budget, 0, 10);
    keys.number("burst", retries.burst, 0, 1'000'000);
    keys.number("perShard", retries.perShard, 0, 100);
}

static void visit(auto& keys, routing::CrashSettings& crashes)
{
    auto canary = static_cast<size_t>(crashes.canary);
    std::string text(canaryModes[canary]);
    keys.choice("canary", text, canaryModes);
    base::LastReason ignored;
    crashes.canary = routing::parseCanaryMode(text, ignored).value_or(crashes.canary);
    keys.number("crashes", crashes.crashes, 1, 3);
    keys.milliseconds("validityMs", crashes.validity, 1000, 24 * 60 * minute);
    keys.milliseconds("recentMs", crashes.recent, 0, 60 * minute);
    keys.milliseconds("settleMs", crashes.settle, 0, minute);
    keys.milliseconds("turnMs", crashes.soloRunTime, 1, minute);
    keys.number("rememberedRequests", crashes.rememberedRequests, 1, 100'000'000);
}

static void visit(auto& keys, routing::RecoverySettings& recovery)
{
    keys.milliseconds("minBackoffMs", recovery.minBackoff, 1, minute);
    keys.milliseconds("maxBackoffMs", recovery.maxBackoff, 1, 10 * minute);
    keys.milliseconds("drainHoldMs", recovery.drainHold, 0, 60 * minute);
    keys.milliseconds("overloadHoldMs", recovery.overloadHold, 0, minute);
    keys.milliseconds("rampMs", recovery.ramp, 0, 10 * minute);
    keys.milliseconds("probeTimeoutMs", recovery.probeTimeout, 1, minute);
    keys.milliseconds("snapshotHoldMs", recovery.snapshotHold, 0, minute);
}

static void visit(auto& keys, routing::RoutingSettings& routing)
{
    std::string policy(routing::toString(routing.policy));
    keys.choice("policy", policy, policies);
    base::LastReason ignored;
    routing.policy = routing::parsePolicy(policy, ignored).value_or(routing.policy);
    keys.fraction("remoteDomainWeight", routing.remoteDomainWeight, 1, 100);
    keys.flag("limitInFlight", routing.limitInFlight);
    keys.fraction("connectionShare", routing.connectionShare, 0.01, 1);
    keys.number("servingHosts", routing.servingHosts, 1, 100'000);
}

static void visit(auto& keys, admission::AdmissionSettings& admission)
{
    keys.flag("enabled", admission.enabled);
    keys.number("queueLength", admission.queueLength, 1, 100'000);
    keys.fraction("utilisation", admission.utilisation, 0.1, 1);
}

static void visit(auto& keys, admission::QuotaSettings& quotas)
{
    keys.milliseconds("leaseMs", quotas.leaseTime, 500, minute);
    keys.milliseconds("pauseMarginMs", quotas.pauseMargin, 1000, minute);
    keys.fraction("clockRateMargin", quotas.clockRateMargin, 0, 0.5);
    keys.milliseconds("holdMs", quotas.holdTime, 1000, 60 * minute);
    keys.milliseconds("windowMs", quotas.window, 1000, 10 * minute);
}

static void visit(auto& keys, execution::TicketSettings& tickets)
{
    keys.milliseconds("validityMs", tickets.validity, 1000, 60 * minute);
    keys.milliseconds("retentionMs", tickets.retention, 1000, 24 * 60 * minute);
    keys.number("maxRecords", tickets.maxRecords, 1, 100'000'000);
    keys.number("maxAnswerBytes", tickets.maxAnswerBytes, 65'536, uint64_t { 64 } << 30U);
}

static void visit(auto& keys, entry::EntrySettings& answers)
{
    keys.milliseconds("timeToLiveMs", answers.timeToLive, 100, 10 * minute);
    keys.number("hosts", answers.hosts, 1, 100);
}

static void visit(auto& keys, engine::StopSettings& stop)
{
    keys.milliseconds("announcementMs", stop.announcement, 0, 10 * minute);
    keys.milliseconds("drainMs", stop.drain, 0, 60 * minute);
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
    keys.section("hedging", settings.routing.hedging);
    keys.section("retries", settings.routing.retries);
    keys.section("quarantine", settings.routing.crashes);
    keys.section("recovery", settings.routing.recovery);
    keys.section("admission", settings.engine.admission);
    keys.section("quotas", settings.engine.quotas);
    keys.section("tickets", settings.engine.tickets);
    keys.section("entryAnswers", settings.engine.entry);
    keys.section("stop", settings.engine.stop);
    keys.section("log", settings.log);
}

std::optional<Settings> parseSettings(std::string_view text, std::string_view file, base::LastReason& reason)
{
    auto settings = parseDescribed<Settings>(text, file, { "host", "platform" }, reason);
    if (!settings)
        return std::nullopt;
    if (settings->upstreams.maxReconnectDelay < settings->upstreams.minReconnectDelay)
        return base::fail(reason,
            std::string(file) + ": upstreams.maxReconnectDelayMs: must be at least upstreams.minReconnectDelayMs");
    settings->routing.ownFailureDomain = settings->host.failureDomain;
    return settings;
}

std::optional<Settings> readSettings(const std::string& file, base::LastReason& reason)
{
    auto text = readText(file, reason);
    return text ? parseSettings(*text, file, reason) : std::nullopt;
}

std::string toJson(const Settings& settings) { return printDescribed(settings); }

}
