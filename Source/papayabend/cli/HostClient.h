#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace papayabend::cli {

using Json = nlohmann::ordered_json;

/** \struct HostAnswer
 * \brief HTTP answer of a host.
 */
struct HostAnswer {
    int status { 0 };
    std::string text;
    Json json; /**< Null if the text is not JSON. */
};

/** Sends a GET request to \a host (IP address and port). Prints the error and returns nullopt if it does not answer. */
std::optional<HostAnswer> getFrom(const std::string& host, const std::string& path);

/** Sends a POST request with a JSON body; otherwise like getFrom(). */
std::optional<HostAnswer> postTo(
    const std::string& host, const std::string& path, const Json& body, unsigned timeoutMs);

/** Prints the reason of a refusal to the error output and returns the exit code. */
int reportRefusal(const HostAnswer&);

}
