#include "standin/ControlInterface.h"

#include <cstdlib>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace papayabend::standin {

namespace {

    using Json = nlohmann::ordered_json;

    void writeJson(const Json& json, httplib::Response& response)
    {
        response.set_content(json.dump(1, ' ', false, Json::error_handler_t::replace) + "\n", "application/json");
    }

    void writeError(const std::string& reason, httplib::Response& response)
    {
        response.status = 400;
        response.set_content(reason + "\n", "text/plain");
    }

    uint64_t numberParameter(const httplib::Request& request, const char* name)
    {
        return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
    }

}

void addControlRoutes(
    httplib::Server& server, UpstreamServer& upstreams, ConfigService& config, const std::function<void()>& publish)
{
    server.Get("/standin/executions",
        [&](const httplib::Request&, httplib::Response& response) { writeJson(upstreams.executions(), response); });
    server.Get("/standin/connections",
        [&](const httplib::Request&, httplib::Response& response) { writeJson(upstreams.connections(), response); });
    server.Get("/standin/calls",
        [&](const httplib::Request&, httplib::Response& response) { writeJson(config.calls(), response); });
    server.Post("/standin/upstreams", [&](const httplib::Request& request, httplib::Response& response) {
        base::LastReason reason;
        auto changed = upstreams.change(request.get_param_value("prefix"), request.body, reason);
        if (changed == 0)
            writeError(reason.text.empty() ? "no upstream has this prefix" : reason.text, response);
        else
            writeJson({ { "changed", changed } }, response);
    });
    server.Post("/standin/platform", [&](const httplib::Request& request, httplib::Response& response) {
        base::LastReason reason;
        if (!config.change(request.body, reason))
            writeError(reason.text, response);
    });
    server.Post("/standin/snapshot", [&, publish](const httplib::Request& request, httplib::Response& response) {
        upstreams.addSnapshot(request.get_param_value("service"), numberParameter(request, "shards"),
            std::chrono::milliseconds(numberParameter(request, "spreadMs")));
        publish();
        writeJson({ { "catalogVersion", upstreams.deployment().catalogVersion } }, response);
    });
    server.Post("/standin/crash", [&](const httplib::Request& request, httplib::Response& response) {
        if (!upstreams.crash(request.get_param_value("name")))
            writeError("no upstream has this name", response);
    });
}

}
