#include "papayabend/transport/OperatorHttpApi.h"

#include "papayabend/transport/TableJson.h"

#include <ctime>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace papayabend::transport {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr auto jsonType = "application/json";

    std::string dump(const Json& json) { return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"; }

    std::string timeText(std::chrono::system_clock::time_point time)
    {
        auto t = std::chrono::system_clock::to_time_t(time);
        std::tm parts {};
        gmtime_r(&t, &parts);
        char buf[32];
        return { buf, std::strftime(buf, sizeof buf, "%FT%TZ", &parts) };
    }

    double seconds(base::Duration time) { return std::chrono::duration<double>(time).count(); }

}

OperatorHttpApi::OperatorHttpApi(
    engine::Engine& engine, Shell& shell, Metrics& metrics, CallerHttpApi& entry, const settings::Settings& settings)
    : m_engine(engine)
    , m_shell(shell)
    , m_metrics(metrics)
    , m_callerApi(entry)
    , m_settings(settings)
    , m_started(base::BootClock::now())
    , m_server(settings.operators, [](base::RefusalCode) {})
{
    auto get = [this](const char* path, const char* type, auto text) {
        m_server.routes().Get(path,
            [type, text](const httplib::Request&, httplib::Response& response) { response.set_content(text(), type); });
    };
    get("/v1/status", jsonType, [this] { return status(); });
    get("/v1/table", jsonType, [this] { return table(); });
    get("/v1/upstreams", jsonType, [this] { return upstreams(); });
    get("/v1/report", jsonType, [this] { return report::renderJson(m_engine.report(base::BootClock::now())); });
    get("/v1/report.html", "text/html", [this] { return report::renderHtml(m_engine.report(base::BootClock::now())); });
    get("/v1/report.txt", "text/plain",
        [this] { return report::renderTerminal(m_engine.report(base::BootClock::now())); });
    get("/metrics", "text/plain; version=0.0.4",
        [this] { return m_metrics.text(gauges()) + report::renderMetrics(m_engine.report(base::BootClock::now())); });
    get("/healthz", "text/plain", [] { return std::string("ok\n"); });
    m_server.routes().Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        auto reason = notServingReason();
        response.status = reason.empty() ? 200 : 503;
        response.set_content(reason.empty() ? "ok\n" : reason + "\n", "text/plain");
    });
}

std::string OperatorHttpApi::notServingReason() const
{
    auto readiness = m_engine.readiness(base::BootClock::now());
    return readiness.canServe ? "" : readiness.reason;
}

std::string OperatorHttpApi::status() const
{
    auto reason = notServingReason();
    const auto& host = m_settings.host;
    return dump({ { "host", host.name }, { "failureDomain", host.failureDomain }, { "region", host.region },
        { "callerAddress", host.callerAddress }, { "peerAddress", host.peerAddress }, { "serving", reason.empty() },
        { "reason", reason }, { "stage", membership::toString(m_engine.stage()) },
        { "uptimeSeconds", seconds(base::BootClock::now() - m_started) },
        { "incarnation", m_engine.identity().incarnation }, { "tableVersion", m_engine.table()->version },
        { "catalogVersion", m_engine.catalog()->version }, { "openRequests", m_shell.openRequests() },
        { "waitingRequests", m_callerApi.server().waitingRequests() },
        { "callerConnections", m_callerApi.server().openConnections() } });
}

std::string OperatorHttpApi::table() const
{
    auto table = m_engine.table();
    Json json { { "inForceSince", table->version ? Json(timeText(m_shell.tableSince())) : Json(nullptr) },
        { "contentHash", std::to_string(table->contentHash) } };
    json.update(toJson(*table));
    return dump(json);
}

std::string OperatorHttpApi::upstreams() const
{
    auto catalog = m_engine.catalog();
    auto connections = m_shell.upstreams().connections();
    auto& states = m_engine.upstreams();
    auto now = base::BootClock::now();
    Json list = Json::array();
    for (const auto& it : catalog->upstreams) {
        auto own = connections[it.address];
        const auto& state = states.state(it.id);
        auto condition = routing::conditionOf(state, states.settings(), now);
        list.push_back({ { "name", it.name }, { "address", it.address }, { "failureDomain", it.failureDomain },
            { "slots", it.slots }, { "connectionLimit", it.connectionLimit }, { "leaving", it.isLeaving },
            { "condition", routing::toString(condition) }, { "inFlight", state.inFlight.load() },
            { "latencyMs", state.latencyUs.load() / 1000 }, { "reportedQueue", state.reportedQueue.load() },
            { "connections", own.total }, { "readyConnections", own.ready } });
    }
    return dump({ { "catalogVersion", catalog->version }, { "upstreams", std::move(list) } });
}

Gauges OperatorHttpApi::gauges() const
{
    Gauges gauges;
    gauges.tableVersion = m_engine.table()->version;
    gauges.catalogVersion = m_engine.catalog()->version;
    gauges.isServing = notServingReason().empty();
    gauges.callerConnections = m_callerApi.server().openConnections();
    gauges.waitingRequests = m_callerApi.server().waitingRequests();
    for (const auto& [address, own] : m_shell.upstreams().connections()) {
        gauges.readyUpstreamConnections += own.ready;
        gauges.upstreamConnections += own.total;
    }
    return gauges;
}

}
