#include "papayabend/transport/HttpEntry.h"

#include "papayabend/transport/HttpExecution.h"

#include <algorithm>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace papayabend::transport {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr size_t maxBodyBytes = 64 * 1024;
    constexpr auto jsonType = "application/json";

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

    void writeRefusal(const base::Refusal& refusal, httplib::Response& response)
    {
        Json body { { "reason", base::toString(refusal.code) }, { "verdict", base::toString(refusal.verdict) },
            { "detail", refusal.detail } };
        if (refusal.retryAfter) {
            auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
            response.set_header("Retry-After", std::to_string(seconds.count()));
        }
        response.status = base::httpStatus(refusal.code);
        response.set_content(body.dump(), jsonType);
    }

    std::optional<query::SearchRequest> parseSearch(const std::string& body, base::LastReason& reason)
    {
        try {
            auto json = Json::parse(body);
            query::SearchRequest request;
            request.account = json.at("account").get<std::string>();
            request.service = json.at("service").get<std::string>();
            request.query = json.at("query").get<std::string>();
            request.maxHits = json.value("maxHits", request.maxHits);
            request.received = base::BootClock::now();
            request.deadline = request.received + std::chrono::milliseconds(json.at("deadlineMs").get<uint32_t>());
            return request;
        } catch (const Json::exception& error) {
            return base::fail(reason, error.what());
        }
    }

    void writeReply(Reply reply, httplib::Response& response)
    {
        if (auto* answer = std::get_if<query::SearchAnswer>(&reply))
            response.set_content(toJson(*answer).dump(), jsonType);
        else
            writeRefusal(std::get<base::Refusal>(reply), response);
    }

}

struct HttpEntry::Impl {
    engine::Engine& engine;
    Shell& shell;
    httplib::Server server;

    void search(const httplib::Request& httpRequest, httplib::Response& response)
    {
        base::LastReason reason;
        auto request = parseSearch(httpRequest.body, reason);
        if (!request) {
            writeRefusal({ base::RefusalCode::BadRequest, base::Verdict::NotRun, reason.text, {} }, response);
            return;
        }
        request->id = engine.nextRequest();
        auto promise = std::make_shared<std::promise<Reply>>();
        auto future = promise->get_future();
        shell.search(std::move(*request), [promise](Reply reply) { promise->set_value(std::move(reply)); });
        writeReply(future.get(), response);
    }
};

HttpEntry::HttpEntry(engine::Engine& engine, Shell& shell)
    : m_impl(new Impl { engine, shell, {} })
{
    auto& server = m_impl->server;
    server.set_payload_max_length(maxBodyBytes);
    server.Post("/v1/search",
        [this](const httplib::Request& request, httplib::Response& response) { m_impl->search(request, response); });
    addExecutionRoutes(server, engine, shell);
    server.Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
}

HttpEntry::~HttpEntry() = default;

bool HttpEntry::serve(const std::string& ip, int port) { return m_impl->server.listen(ip, port); }

void HttpEntry::stop() { m_impl->server.stop(); }

}
