#include "papayabend/gateway/GatewaySettings.h"

#include "papayabend/settings/ObjectReader.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace papayabend::gateway {

using settings::Json;
using settings::ObjectReader;
using settings::ObjectWriter;

// The visit functions describe the keys once, for reading and for writing. They are static rather than in the
// unnamed namespace, which argument-dependent lookup does not search.

static void visit(auto& keys, PlaceSettings& host)
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

static void visit(auto& keys, EntryAnswerSettings& answers)
{
    keys.fraction("timeToLiveSeconds", answers.timeToLiveSeconds, 0.1, 600);
    keys.number("hostsPerFailureDomain", answers.hostsPerFailureDomain, 2, 1000);
}

static void visit(auto& keys, EventLogSettings& log)
{
    keys.number("failuresPerSecond", log.failuresPerSecond, 1, 100'000);
    keys.number("successesPerSecond", log.successesPerSecond, 0, 100'000);
}

static void visit(auto& keys, GatewaySettings& settings)
{
    keys.section("host", settings.host);
    keys.section("listen", settings.listen);
    keys.section("peers", settings.peers);
    keys.section("store", settings.store);
    keys.section("retryBudget", settings.retryBudget);
    keys.section("stop", settings.stop);
    keys.section("entryAnswers", settings.entryAnswers);
    keys.section("log", settings.log);
}

std::optional<GatewaySettings> parseGatewaySettings(
    std::string_view text, std::string_view file, base::LastReason& reason)
{
    reason.text.clear();
    Json json;
    try {
        json = Json::parse(text, nullptr, true, true);
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string(file) + ": " + error.what());
    }
    GatewaySettings settings;
    ObjectReader reader(file, {}, json, reason);
    visit(reader, settings);
    reader.refuseUnknownKeys();
    for (const auto* section : { "host", "listen", "store" }) {
        if (reason.text.empty() && !json.contains(section))
            reason.text = std::string(file) + ": " + section + ": is required";
    }
    if (!reason.text.empty())
        return std::nullopt;
    return settings;
}

std::optional<GatewaySettings> readGatewaySettings(const std::string& file, base::LastReason& reason)
{
    std::ifstream stream(file);
    if (!stream)
        return base::fail(reason, file + ": cannot be read");
    return parseGatewaySettings(std::string(std::istreambuf_iterator<char>(stream), {}), file, reason);
}

std::string toJson(const GatewaySettings& settings)
{
    Json json = Json::object();
    ObjectWriter writer(json);
    auto copy = settings;
    visit(writer, copy);
    return json.dump(2);
}

dispatch::RetryBudgetSettings budgetOf(const BudgetSettings& budget)
{
    auto window = std::chrono::duration<double>(budget.windowSeconds);
    return { budget.ratio, budget.extra, std::chrono::duration_cast<base::Duration>(window) };
}

}
