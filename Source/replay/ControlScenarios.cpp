// Measurements of the control path: cost per host, time to spread a value, reads of the platform.
#include "papayabend/transport/PeerCodec.h"
#include "replay/ControlFleet.h"
#include "replay/Scenario.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace papayabend::replay {

namespace {

    using namespace std::chrono_literals;

    constexpr std::array<size_t, 4> fleetSizes { 8, 100, 400, 1600 };
    // gRPC adds about 80 bytes of HTTP/2 frames and indexed headers to a call in each direction, and TCP/IP 66 bytes
    // to each packet; this is counted for every message.
    constexpr size_t transportBytes = 290;

    ControlFleetSettings fleetOf(const MeasureOptions& options, size_t hosts)
    {
        ControlFleetSettings settings;
        settings.seed = options.seed;
        settings.hosts = hosts;
        settings.domains = hosts < 100 ? 3 : 13;
        settings.regions = hosts < 100 ? 1 : 6;
        settings.loss = 0.01;
        return settings;
    }

    void startFleet(ControlFleet& fleet)
    {
        fleet.startAll(2s);
        fleet.runFor(20s);
    }

    void addViolations(Figures& figures, const ControlFleet& fleet)
    {
        figures.violations += fleet.violations.size();
        std::ranges::copy(fleet.violations, std::back_inserter(figures.violationTexts));
    }

    double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

    struct Cost {
        double bytesPerSecond { 0 };
        double messagesPerSecond { 0 };
        double coreShare { 0 };
    };

    // Mean cost of a host while values change at three times the design rate: a change of the table or the catalogue
    // every 13 s, and while a host restarts every 21 s, the design rate for 1,600 hosts.
    Cost costOf(const MeasureOptions& options, size_t hosts, bool withChanges, Figures& figures)
    {
        auto settings = fleetOf(options, hosts);
        settings.messageBytes
            = [](const engine::PeerMessage& message) { return transport::toEnvelope(message).ByteSizeLong(); };
        ControlFleet fleet(settings);
        startFleet(fleet);
        for (auto& host : fleet.hosts)
            host.bytesSent = host.bytesReceived = host.messagesReceived = host.cpuNanoseconds = 0;
        constexpr auto duration = 39s;
        base::Random random(options.seed);
        for (auto second = 0s; second < duration; ++second) {
            if (withChanges && second.count() % 13 == 0)
                fleet.publish(second.count() % 26 == 0 ? "table" : "catalog");
            if (withChanges && second.count() % 21 == 3) {
                auto n = base::uniformIndex(random, hosts);
                fleet.killHost(n);
                fleet.startHost(n);
                fleet.refreshHostList();
            }
            fleet.runFor(1s);
        }
        Cost cost;
        for (const auto& host : fleet.hosts) {
            cost.bytesPerSecond += static_cast<double>(host.bytesSent + host.bytesReceived);
            cost.messagesPerSecond += static_cast<double>(host.messagesReceived);
            cost.coreShare += static_cast<double>(host.cpuNanoseconds) * 1e-9;
        }
        auto scale = 1 / (seconds(duration) * static_cast<double>(hosts));
        addViolations(figures, fleet);
        return { cost.bytesPerSecond * scale, cost.messagesPerSecond * scale, cost.coreShare * scale };
    }

}

Figures measureControlCost(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "hosts", "changes", "KB/s protobuf", "messages/s in", "KB/s with transport", "core %" };
    for (auto hosts : fleetSizes) {
        for (auto withChanges : { false, true }) {
            auto cost = costOf(options, hosts, withChanges, figures);
            auto wire = cost.bytesPerSecond + 2 * cost.messagesPerSecond * static_cast<double>(transportBytes);
            figures.rows.push_back({ std::to_string(hosts), withChanges ? "yes" : "no",
                formatNumber(cost.bytesPerSecond / 1000, 2), formatNumber(cost.messagesPerSecond, 2),
                formatNumber(wire / 1000, 2), formatNumber(100 * cost.coreShare, 4) });
        }
    }
    return figures;
}

Figures measureControlSpread(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "hosts", "changes", "median s", "worst s" };
    constexpr size_t changes = 20;
    for (auto hosts : fleetSizes) {
        ControlFleet fleet(fleetOf(options, hosts));
        startFleet(fleet);
        std::vector<double> times;
        for (size_t n = 0; n < changes; ++n) {
            auto begin = fleet.now();
            auto version = fleet.publish("table");
            while (!fleet.isTableEverywhere(version) && fleet.now() - begin < 60s)
                fleet.runFor(20ms);
            times.push_back(seconds(fleet.now() - begin));
            fleet.runFor(1s);
        }
        std::ranges::sort(times);
        figures.rows.push_back({ std::to_string(hosts), std::to_string(changes), formatNumber(times[changes / 2], 2),
            formatNumber(times.back(), 2) });
        addViolations(figures, fleet);
    }
    return figures;
}

Figures measureControlRestart(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "hosts", "case", "reads/s at most", "ready median s", "ready worst s" };
    auto addRow = [&](const ControlFleet& fleet, const std::string& name, base::TimePoint from) {
        std::vector<double> times;
        for (const auto& host : fleet.hosts) {
            if (host.started >= from)
                times.push_back(host.ready == base::TimePoint {} ? 999 : seconds(host.ready - host.started));
        }
        std::ranges::sort(times);
        figures.rows.push_back(
            { std::to_string(fleet.hosts.size()), name, std::to_string(fleet.mostReadsPerSecond(from)),
                formatNumber(times[times.size() / 2], 2), formatNumber(times.back(), 2) });
        addViolations(figures, fleet);
    };
    for (auto hosts : fleetSizes) {
        for (auto spread : { 0s, 2s }) {
            ControlFleet fleet(fleetOf(options, hosts));
            auto begin = fleet.now();
            fleet.startAll(spread);
            fleet.runFor(20s);
            addRow(fleet, "all within " + std::to_string(spread.count()) + " s", begin);
            if (spread == 0s)
                continue;
            begin = fleet.now();
            for (size_t n = 0; n < 8; ++n) {
                fleet.killHost(n);
                fleet.startHost(n);
                fleet.runFor(5s);
            }
            addRow(fleet, "8 single hosts", begin);
        }
        auto settings = fleetOf(options, hosts);
        settings.seedsPerDomain = 0;
        ControlFleet fleet(settings);
        auto begin = fleet.now();
        fleet.startAll(0s);
        fleet.runFor(20s);
        addRow(fleet, "all at once, no seed", begin);
    }
    return figures;
}

Figures measureControlOutage(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "hosts", "steady reads/s", "in outage", "after outage", "in partition", "after partition",
        "new table after partition s" };
    for (auto hosts : fleetSizes) {
        ControlFleet fleet(fleetOf(options, hosts));
        startFleet(fleet);
        auto most = [&](base::Duration duration) {
            auto from = fleet.now();
            fleet.runFor(duration);
            return std::to_string(fleet.mostReadsPerSecond(from));
        };
        auto steady = most(30s);
        fleet.isPlatformUp = false;
        auto inOutage = most(60s);
        fleet.isPlatformUp = true;
        auto afterOutage = most(30s);
        auto half = hosts / 2;
        fleet.isCut = [half, hosts](size_t from, size_t to) {
            return (from < half) != (to < half) || (to == hosts && from < half);
        };
        auto version = fleet.publish("table");
        auto inPartition = most(60s);
        fleet.isCut = nullptr;
        auto begin = fleet.now();
        while (!fleet.isTableEverywhere(version) && fleet.now() - begin < 60s)
            fleet.runFor(20ms);
        auto healed = fleet.now() - begin;
        auto afterPartition = most(30s);
        figures.rows.push_back({ std::to_string(hosts), steady, inOutage, afterOutage, inPartition, afterPartition,
            formatNumber(seconds(healed), 2) });
        addViolations(figures, fleet);
    }
    return figures;
}

}
