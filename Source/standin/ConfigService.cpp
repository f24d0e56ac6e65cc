#include "standin/ConfigService.h"

#include <chrono>
#include <fstream>
#include <httplib.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

namespace papayabend::standin {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 50 };

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    uint64_t versionOf(const std::string& text)
    {
        auto json = nlohmann::json::parse(text, nullptr, false);
        return json.is_object() ? json.value("version", uint64_t { 0 }) : 0;
    }

    uint64_t numberParameter(const httplib::Request& request, const char* name)
    {
        return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
    }

}

bool serveConfig(const std::string& ip, int port, const std::string& folder)
{
    httplib::Server server;
    server.Get(R"(/v1/values/([a-z-]+))", [&](const httplib::Request& request, httplib::Response& response) {
        auto after = numberParameter(request, "after");
        auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberParameter(request, "wait"));
        while (true) {
            auto text = readFile(folder + "/" + std::string(request.matches[1]));
            if (versionOf(text) > after) {
                response.set_content(text, "application/json");
                return;
            }
            if (std::chrono::steady_clock::now() >= end)
                break;
            std::this_thread::sleep_for(pollInterval);
        }
        response.status = 304;
    });
    return server.listen(ip, port);
}

}
