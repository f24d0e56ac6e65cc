#include "papayabend/transport/HttpExecution.h"

#include "papayabend/transport/JsonBody.h"

#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace papayabend::transport {

namespace {

    using Json = nlohmann::ordered_json;
    using base::RefusalCode;
    using base::Verdict;

    constexpr auto jsonType = "application/json";
    constexpr uint32_t maxDeadlineMs = 60'000;
    constexpr std::chrono::seconds queryTimeout { 2 };

    // The engine answers at the deadline; a request without a reply after this time indicates a defect in the host.
    constexpr std::chrono::seconds replyGrace { 5 };

    void writeJson(httplib::Response& response, const Json& json)
    {
        response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace), jsonType);
    }

    void refuse(httplib::Response& response, const base::Refusal& refusal)
    {
        if (refusal.retryAfter) {
            auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
            response.set_header("Retry-After", std::to_string(seconds.count()));
        }
        response.status = base::httpStatus(refusal.code);
        writeJson(response,
            { { "reason", base::toString(refusal.code) }, { "verdict", base::toString(refusal.verdict) },
                { "detail", refusal.detail } });
    }

    void refuseBadRequest(httplib::Response& response, std::string detail)
    {
        refuse(response, { RefusalCode::BadRequest, Verdict::NotRun, std::move(detail), {} });
    }

    void writeReply(httplib::Response& response, const Reply& reply)
    {
        if (const auto* answer = std::get_if<execution::ExecutionAnswer>(&reply)) {
            writeJson(response,
                { { "ticket", answer->ticket }, { "verdict", base::toString(Verdict::Ran) },
                    { "body", answer->body } });
        } else if (const auto* outcome = std::get_if<execution::OutcomeAnswer>(&reply)) {
            Json json { { "ticket", outcome->ticket }, { "state", toString(outcome->state) } };
            json["verdict"] = outcome->verdict ? Json(base::toString(*outcome->verdict)) : Json(nullptr);
            if (outcome->verdict == Verdict::Ran)
                json["body"] = outcome->body;
            writeJson(response, json);
        } else if (const auto* refusal = std::get_if<base::Refusal>(&reply)) {
            refuse(response, *refusal);
        } else {
            refuse(response, { RefusalCode::Internal, Verdict::MayHaveRun, "unexpected reply type", {} });
        }
    }

    /** Starts the request and blocks the calling thread until the reply arrives. */
    void run(engine::Engine& engine, Shell& shell, execution::ExecutionRequest request, httplib::Response& response)
    {
        request.id = engine.nextRequest();
        auto promise = std::make_shared<std::promise<Reply>>();
        auto future = promise->get_future();
        auto timeLeft = std::max<base::Duration>(request.deadline - base::BootClock::now(), {}) + replyGrace;
        shell.execute(std::move(request), [promise](Reply reply) { promise->set_value(std::move(reply)); });
        if (future.wait_for(timeLeft) == std::future_status::ready)
            writeReply(response, future.get());
        else
            refuse(response, { RefusalCode::Internal, Verdict::MayHaveRun, "the host lost the request", {} });
    }

    std::optional<execution::ExecutionRequest> parseExecution(const std::string& body, base::LastReason& reason)
    {
        auto parsed = parseJsonBody(body, reason);
        if (!parsed)
            return std::nullopt;
        try {
            const auto& json = *parsed;
            execution::ExecutionRequest request;
            request.ticket = json.value("ticket", std::string());
            request.account = json.at("account").get<std::string>();
            request.service = json.at("service").get<std::string>();
            request.body = json.at("body").get<std::string>();
            request.received = base::BootClock::now();
            auto deadline = json.at("deadlineMs").get<uint32_t>();
            if (deadline < 1 || deadline > maxDeadlineMs)
                return base::fail(reason, "deadlineMs: must be from 1 to " + std::to_string(maxDeadlineMs));
            request.deadline = request.received + std::chrono::milliseconds(deadline);
            return request;
        } catch (const Json::exception& error) {
            return base::fail(reason, error.what());
        }
    }

    void issueTicket(engine::Engine& engine, const httplib::Request& httpRequest, httplib::Response& response)
    {
        std::string account;
        std::string service;
        base::LastReason reason;
        auto parsed = parseJsonBody(httpRequest.body, reason);
        if (!parsed)
            return refuseBadRequest(response, reason.text);
        try {
            const auto& json = *parsed;
            account = json.at("account").get<std::string>();
            service = json.at("service").get<std::string>();
        } catch (const Json::exception& error) {
            refuseBadRequest(response, error.what());
            return;
        }
        auto reply = engine.issueTicket(account, service, base::BootClock::now());
        if (const auto* refusal = std::get_if<base::Refusal>(&reply)) {
            refuse(response, *refusal);
            return;
        }
        const auto& issued = std::get<execution::IssuedTicket>(reply);
        auto validity = std::chrono::floor<std::chrono::milliseconds>(issued.validity);
        writeJson(response, { { "ticket", issued.ticket }, { "validityMs", validity.count() } });
    }

    entry::Caller callerOf(const httplib::Request& request)
    {
        auto name = request.get_param_value("caller");
        return { name.empty() ? request.remote_addr : name, request.get_param_value("failureDomain") };
    }

    void entryHosts(engine::Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        auto answer = engine.entry().rank(request.get_param_value("account"), request.get_param_value("service"),
            callerOf(request), base::BootClock::now());
        if (answer.hosts.empty()) {
            refuse(response,
                { RefusalCode::NotReady, Verdict::NotRun, "no serving host is known", std::chrono::seconds(1) });
            return;
        }
        Json hosts = Json::array();
        for (const auto& host : answer.hosts)
            hosts.push_back(
                { { "name", host.name }, { "address", host.callerAddress }, { "failureDomain", host.failureDomain } });
        auto timeToLive = std::chrono::floor<std::chrono::milliseconds>(answer.timeToLive);
        writeJson(response, { { "hosts", std::move(hosts) }, { "timeToLiveMs", timeToLive.count() } });
    }

    /** Redirects callers with an outdated list of entry hosts to another host. A ticket is bound to the process that
     * issued it, so none is issued once the stop has begun; searches are served until the host drains.
     */
    bool redirect(engine::Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        using membership::Lifecycle;
        auto stage = engine.stage();
        auto isDue = request.path == "/v1/tickets" ? stage >= Lifecycle::Withdrawing
                                                   : request.path == "/v1/search" && stage >= Lifecycle::Draining;
        if (!isDue)
            return false;
        auto other = engine.entry().otherHost({}, {}, callerOf(request), base::BootClock::now());
        if (!other)
            return false;
        constexpr int temporaryRedirect = 307;
        response.set_redirect("http://" + *other + request.path, temporaryRedirect);
        return true;
    }

}

void addExecutionRoutes(httplib::Server& server, engine::Engine& engine, Shell& shell)
{
    server.set_pre_routing_handler([&engine](const httplib::Request& request, httplib::Response& response) {
        using Handled = httplib::Server::HandlerResponse;
        return redirect(engine, request, response) ? Handled::Handled : Handled::Unhandled;
    });
    server.Get("/v1/entry-hosts", [&engine](const httplib::Request& request, httplib::Response& response) {
        entryHosts(engine, request, response);
    });
    server.Post("/v1/tickets", [&engine](const httplib::Request& request, httplib::Response& response) {
        issueTicket(engine, request, response);
    });
    server.Post("/v1/execute", [&engine, &shell](const httplib::Request& httpRequest, httplib::Response& response) {
        base::LastReason reason;
        if (auto request = parseExecution(httpRequest.body, reason))
            run(engine, shell, std::move(*request), response);
        else
            refuseBadRequest(response, reason.text);
    });
    server.Get(R"(/v1/outcomes/(.+))", [&engine, &shell](const httplib::Request& request, httplib::Response& response) {
        execution::ExecutionRequest query;
        query.kind = execution::ExecutionKind::QueryOutcome;
        query.ticket = request.matches[1];
        query.received = base::BootClock::now();
        query.deadline = query.received + queryTimeout;
        run(engine, shell, std::move(query), response);
    });
}

}
