#include "papayabend/transport/CallerHttpApi.h"

#include "papayabend/transport/JsonBody.h"

#include "papayabend/transport/HttpExecution.h"

#include <algorithm>
#include <array>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace papayabend::transport {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr auto jsonType = "application/json";
    constexpr size_t maxNameBytes = 128;
    constexpr uint64_t maxHitsAllowed = 1000;
    // The engine answers at the deadline; a request without a reply after this time indicates a defect in the host.
    constexpr std::chrono::seconds replyGrace { 5 };

    Json toJson(const query::SearchAnswer& answer)
    {
        Json hits = Json::array();
        std::ranges::transform(answer.hits, std::back_inserter(hits), [](const routing::Hit& hit) {
            return Json { { "document", hit.document }, { "score", hit.score } };
        });
        Json missing = Json::array();
        std::ranges::transform(answer.coverage.missing, std::back_inserter(missing), [](const auto& it) {
            return Json { { "shard", it.shard }, { "units", it.units }, { "reason", it.reason } };
        });
        return { { "snapshot", answer.snapshot }, { "hits", std::move(hits) },
            { "coverage",
                { { "complete", query::isComplete(answer.coverage) }, { "share", query::coveredShare(answer.coverage) },
                    { "unitsSearched", answer.coverage.unitsSearched }, { "unitsTotal", answer.coverage.unitsTotal },
                    { "missing", std::move(missing) } } },
            { "attempts", answer.attempts } };
    }

    std::optional<std::string> textOf(const Json& json, const char* key, size_t maxBytes, base::LastReason& reason)
    {
        auto it = json.find(key);
        if (it == json.end())
            return base::fail(reason, std::string(key) + ": is required");
        if (!it->is_string() || it->get_ref<const std::string&>().empty())
            return base::fail(reason, std::string(key) + ": must be a text that is not empty");
        if (it->get_ref<const std::string&>().size() > maxBytes)
            return base::fail(reason, std::string(key) + ": is longer than " + std::to_string(maxBytes) + " bytes");
        return it->get<std::string>();
    }

    std::optional<uint64_t> numberOf(const Json& json, const char* key, uint64_t max, base::LastReason& reason)
    {
        auto it = json.find(key);
        if (it == json.end())
            return base::fail(reason, std::string(key) + ": is required");
        if (!it->is_number_unsigned() || it->get<uint64_t>() < 1 || it->get<uint64_t>() > max)
            return base::fail(reason, std::string(key) + ": must be a whole number from 1 to " + std::to_string(max));
        return it->get<uint64_t>();
    }

    /** Counts a request by path and a refusal by the reason and verdict that its caller received. */
    void count(Metrics& metrics, const httplib::Request& request, const httplib::Response& response)
    {
        const auto& path = request.path;
        if (path == "/v1/search")
            metrics.requestReceived(Metrics::Request::Search);
        else if (path == "/v1/tickets")
            metrics.requestReceived(Metrics::Request::Ticket);
        else if (path == "/v1/execute")
            metrics.requestReceived(Metrics::Request::Execution);
        else if (path.starts_with("/v1/outcomes/"))
            metrics.requestReceived(Metrics::Request::Outcome);
        else if (path == "/v1/entry-hosts")
            metrics.requestReceived(Metrics::Request::EntryHosts);
        if (response.status < 400)
            return;
        auto json = Json::parse(response.body, nullptr, false);
        if (json.is_object())
            metrics.refused(json.value("reason", ""), json.value("verdict", ""));
    }

    bool hasOnlyKnownKeys(const Json& json, base::LastReason& reason)
    {
        constexpr std::array<std::string_view, 5> known { "account", "service", "query", "deadlineMs", "maxHits" };
        for (const auto& [key, value] : json.items()) {
            if (std::ranges::find(known, key) == known.end()) {
                reason.text = key + ": unknown key";
                return false;
            }
        }
        return true;
    }

}

std::optional<query::SearchRequest> parseSearch(std::string_view body, base::TimePoint received,
    const settings::HttpServerSettings& settings, base::LastReason& reason)
{
    auto parsed = parseJsonBody(body, reason);
    if (!parsed)
        return std::nullopt;
    const auto& json = *parsed;
    auto maxDeadline = static_cast<uint64_t>(settings.maxDeadline.count() / 1000);
    auto account = textOf(json, "account", maxNameBytes, reason);
    if (!account)
        return std::nullopt;
    auto service = textOf(json, "service", maxNameBytes, reason);
    if (!service)
        return std::nullopt;
    auto query = textOf(json, "query", settings.bodyBytes, reason);
    if (!query)
        return std::nullopt;
    auto deadline = numberOf(json, "deadlineMs", maxDeadline, reason);
    if (!deadline)
        return std::nullopt;
    query::SearchRequest request;
    auto maxHits = json.contains("maxHits") ? numberOf(json, "maxHits", maxHitsAllowed, reason)
                                            : std::optional<uint64_t>(request.maxHits);
    if (!maxHits || !hasOnlyKnownKeys(json, reason))
        return std::nullopt;
    request.account = std::move(*account);
    request.service = std::move(*service);
    request.query = std::move(*query);
    request.maxHits = static_cast<uint32_t>(*maxHits);
    request.received = received;
    request.deadline = received + std::chrono::milliseconds(*deadline);
    return request;
}

CallerHttpApi::CallerHttpApi(
    engine::Engine& engine, Shell& shell, Metrics& metrics, const settings::HttpServerSettings& settings)
    : m_engine(engine)
    , m_shell(shell)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_server(settings, [&metrics](base::RefusalCode code) { metrics.refused(code, base::Verdict::NotRun); })
{
    auto& routes = m_server.routes();
    routes.set_logger([&metrics](const httplib::Request& request, const httplib::Response& response) {
        count(metrics, request, response);
    });
    routes.Post("/v1/search",
        [this](const httplib::Request& request, httplib::Response& response) { search(request, response); });
    addExecutionRoutes(routes, engine, shell);
    routes.Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
}

void CallerHttpApi::search(const httplib::Request& httpRequest, httplib::Response& response)
{
    auto refuse = [&](const base::Refusal& refusal) { writeRefusal(refusal, response); };
    base::LastReason reason;
    auto received = HttpServer::requestReceived();
    auto request = parseSearch(httpRequest.body, received, m_settings, reason);
    if (!request) {
        refuse({ base::RefusalCode::BadRequest, base::Verdict::NotRun, reason.text, {} });
        return;
    }
    if (auto readiness = m_engine.readiness(received); !readiness.canServe) {
        refuse({ readiness.code, base::Verdict::NotRun, readiness.reason, std::chrono::seconds(1) });
        return;
    }
    request->id = m_engine.nextRequest();
    auto deadline = request->deadline;
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    m_shell.search(std::move(*request), [promise](Reply reply) { promise->set_value(std::move(reply)); });
    auto timeLeft = std::max<base::Duration>(deadline - base::BootClock::now(), {}) + replyGrace;
    if (future.wait_for(timeLeft) != std::future_status::ready) {
        refuse({ base::RefusalCode::Internal, base::Verdict::MayHaveRun, "the host lost the request", {} });
        return;
    }
    auto reply = future.get();
    if (auto* refusal = std::get_if<base::Refusal>(&reply)) {
        refuse(*refusal);
        return;
    }
    const auto& answer = std::get<query::SearchAnswer>(reply);
    m_metrics.answered(answer, base::BootClock::now() - received);
    response.set_content(toJson(answer).dump(-1, ' ', false, Json::error_handler_t::replace), jsonType);
}

}
