#include "papayabend/gateway/GatewaySettings.h"

#include "papayabend/settings/DescribedFile.h"

#include <algorithm>

namespace papayabend::gateway {

// The visit functions list the keys of each section for both reading and printing. They are static instead of in the
// unnamed namespace because argument-dependent lookup does not search the latter.

static void visit(auto& keys, HostSettings& host)
{
    keys.name("name", host.name);
    keys.name("failureDomain", host.failureDomain);
    keys.name("region", host.region);
    keys.fraction("cores", host.cores, 0.001, 1024);
}

static void visit(auto& keys, ListenSettings& listen)
{
    keys.address("callers", listen.callers);
    keys.address("readiness", listen.readiness);
    keys.address("entry", listen.entry);
    keys.address("peers", listen.peers);
    keys.address("metrics", listen.metrics);
}

static void visit(auto& keys, PeerSettings& peers) { keys.addresses("seeds", peers.seeds); }

static void visit(auto& keys, StoreSettings& store) { keys.address("address", store.address); }

static void visit(auto& keys, BudgetSettings& budget)
{
    keys.fraction("ratio", budget.ratio, 0, 10);
    keys.fraction("extra", budget.extra, 0, 1'000'000);
    keys.fraction("windowSeconds", budget.windowSeconds, 1, 600);
}

static void visit(auto& keys, StopSettings& stop) { keys.fraction("graceSeconds", stop.graceSeconds, 1, 600); }

static void visit(auto& keys, ColdUpstreamSettings& cold)
{
    keys.fraction("overage", cold.overage, 0, 1000);
    keys.fraction("slack", cold.slack, 0, 1'000'000);
}

static void visit(auto& keys, EntryAnswerSettings& answers)
{
    keys.fraction("timeToLiveSeconds", answers.timeToLiveSeconds, 0.1, 600);
    keys.fraction("calmTimeToLiveSeconds", answers.calmTimeToLiveSeconds, 0, 600);
    keys.number("hostsPerFailureDomain", answers.hostsPerFailureDomain, 2, 1000);
    keys.number("attemptsPerCore", answers.attemptsPerCore, 10, 1'000'000);
    keys.flag("prefersStrongHosts", answers.prefersStrongHosts);
}

static void visit(auto& keys, UpstreamChoiceSettings& choice) { keys.flag("learnsCapacity", choice.learnsCapacity); }

static void visit(auto& keys, AdmissionSettings& admission) { keys.flag("sharesOverFleet", admission.sharesOverFleet); }

static void visit(auto& keys, TableSettings& table) { keys.text("file", table.file); }

static void visit(auto& keys, EventLogSettings& log)
{
    keys.number("changesPerSecond", log.changesPerSecond, 1, 100'000);
    keys.number("failuresPerSecond", log.failuresPerSecond, 1, 100'000);
    keys.number("successesPerSecond", log.successesPerSecond, 0, 100'000);
}

static void visit(auto& keys, ClientSettings& clients)
{
    keys.number("bufferedBytes", clients.bufferedBytes, 1'000'000, 1'000'000'000);
    keys.number("connections", clients.connections, 0, 1'000'000);
    keys.number("connectionsPerListener", clients.connectionsPerListener, 0, 1'000'000);
    keys.number("reservedDescriptors", clients.reservedDescriptors, 0, 1'000'000);
    keys.number("headerFields", clients.headerFields, 16, 65'536);
    keys.number("chunkFramingBytes", clients.chunkFramingBytes, 1'000, 1'000'000'000);
}

static void visit(auto& keys, GatewaySettings& settings)
{
    keys.section("host", settings.host);
    keys.section("listen", settings.listen);
    keys.section("peers", settings.peers);
    keys.section("store", settings.store);
    keys.section("retryBudget", settings.retryBudget);
    keys.section("stop", settings.stop);
    keys.section("coldUpstreams", settings.coldUpstreams);
    keys.section("entryAnswers", settings.entryAnswers);
    keys.section("routing", settings.routing);
    keys.section("admission", settings.admission);
    keys.section("table", settings.table);
    keys.section("log", settings.log);
    keys.section("clients", settings.clients);
}

std::optional<GatewaySettings> parseGatewaySettings(
    std::string_view text, std::string_view file, base::LastReason& reason)
{
    return settings::parseDescribed<GatewaySettings>(text, file, { "host", "listen", "store" }, reason);
}

std::optional<GatewaySettings> readGatewaySettings(const std::string& file, base::LastReason& reason)
{
    auto text = settings::readText(file, reason);
    return text ? parseGatewaySettings(*text, file, reason) : std::nullopt;
}

std::optional<std::shared_ptr<const table::Table>> readTable(const TableSettings& settings, base::LastReason& reason)
{
    if (settings.file.empty())
        return nullptr;
    auto text = settings::readText(settings.file, reason);
    if (!text)
        return std::nullopt;
    auto parsed = table::parseTable(*text, reason);
    if (!parsed)
        return base::fail(reason, settings.file + ": " + reason.text);
    return std::make_shared<const table::Table>(std::move(*parsed));
}

std::string toJson(const GatewaySettings& gateway) { return settings::printDescribed(gateway); }

fleet::ServingSettings servingOf(const EntryAnswerSettings& answers)
{
    return { answers.hostsPerFailureDomain, answers.attemptsPerCore, answers.prefersStrongHosts };
}

fleet::EntryValiditySettings validityOf(const EntryAnswerSettings& answers, const StopSettings& stop)
{
    auto duration = [](double seconds) {
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    };
    return { duration(answers.timeToLiveSeconds),
        duration(std::max(answers.timeToLiveSeconds, answers.calmTimeToLiveSeconds)), duration(stop.graceSeconds) };
}

ConnectionBounds boundsOf(const ClientSettings& clients, size_t descriptors)
{
    return connectionBounds(
        descriptors, clients.reservedDescriptors, clients.connections, clients.connectionsPerListener);
}

dispatch::RetryBudgetSettings budgetOf(const BudgetSettings& budget)
{
    auto window = std::chrono::duration<double>(budget.windowSeconds);
    return { budget.ratio, budget.extra, std::chrono::duration_cast<base::Duration>(window) };
}

}
