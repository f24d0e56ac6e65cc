#include "papayabend/cli/HostClient.h"

#include "papayabend/cli/Command.h"

#include <httplib.h>
#include <iostream>

namespace papayabend::cli {

namespace {

    constexpr unsigned graceMs = 6000; // A host answers at the latest 5 s after the deadline.

    std::optional<HostAnswer> toAnswer(const std::string& host, const httplib::Result& result)
    {
        if (!result) {
            std::cerr << "papayabend: host " << host << " does not answer: " << httplib::to_string(result.error())
                      << '\n';
            return std::nullopt;
        }
        auto json = Json::parse(result->body, nullptr, false);
        return HostAnswer { result->status, result->body, json.is_discarded() ? Json(nullptr) : std::move(json) };
    }

}

std::optional<HostAnswer> getFrom(const std::string& host, const std::string& path)
{
    httplib::Client client("http://" + host);
    return toAnswer(host, client.Get(path));
}

std::optional<HostAnswer> postTo(const std::string& host, const std::string& path, const Json& body, unsigned timeoutMs)
{
    httplib::Client client("http://" + host);
    client.set_read_timeout(std::chrono::milliseconds(timeoutMs + graceMs));
    return toAnswer(
        host, client.Post(path, body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json"));
}

int reportRefusal(const HostAnswer& answer)
{
    std::cerr << "papayabend: status " << answer.status << ": ";
    if (answer.json.is_object())
        std::cerr << answer.json.value("reason", "") << ", " << answer.json.value("verdict", "") << ": "
                  << answer.json.value("detail", "") << '\n';
    else
        std::cerr << answer.text << '\n';
    return Refused;
}

}
