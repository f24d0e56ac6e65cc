#include "papayabend/cli/Explain.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace papayabend::cli {

namespace {

    using Json = nlohmann::ordered_json;

    /** Newest log lines that state what a host knew about its dependencies and upstreams. */
    struct KnownState {
        std::map<std::string, Json> states; /**< By event, and by dependency for lost and regained ones. */
        std::map<std::string, Json> upstreams; /**< By id. */
    };

    constexpr std::array<std::string_view, 7> stateEvents { "configuration", "ready", "reader", "paused", "stop",
        "reload", "fleet" };

    std::string textOf(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

    std::string fieldsOf(const Json& line)
    {
        std::string text;
        for (const auto& [key, value] : line.items()) {
            if (key != "time" && key != "host" && key != "event")
                text += ' ' + key + '=' + textOf(value);
        }
        return text;
    }

    std::string ageOf(const Json& line, const Json& request)
    {
        return std::to_string(request.value("time", int64_t { 0 }) - line.value("time", int64_t { 0 })) + " ms before";
    }

    void updateKnownState(KnownState& knownState, const Json& line)
    {
        auto event = line.value("event", "");
        if (event == "start")
            knownState = {};
        if (event == "upstream")
            knownState.upstreams[line.value("upstream", "")] = line;
        else if (event == "lost" || event == "regained")
            knownState.states["dependency " + line.value("dependency", "")] = line;
        else if (event == "evacuation")
            knownState.states["evacuation " + line.value("failureDomain", "")] = line;
        else if (std::ranges::find(stateEvents, event) != stateEvents.end())
            knownState.states[event] = line;
    }

    void explain(const Json& request, const KnownState& knownState, std::vector<std::string>& lines)
    {
        lines.push_back("host " + request.value("host", "") + ", time " + textOf(request["time"]));
        for (const auto& [name, line] : knownState.states)
            lines.push_back("  " + ageOf(line, request) + ": " + line.value("event", "") + fieldsOf(line));
        auto subrequests = request.value("legs", "");
        for (const auto& [id, line] : knownState.upstreams) {
            if (subrequests.find(id) != std::string::npos)
                lines.push_back("  " + ageOf(line, request) + ": upstream" + fieldsOf(line));
        }
        lines.push_back("  request" + fieldsOf(request));
    }

}

std::vector<std::string> explainRequest(std::istream& logs, std::string_view id)
{
    std::map<std::string, KnownState> hosts;
    std::vector<std::string> lines;
    std::string text;
    while (std::getline(logs, text)) {
        // Log collectors may prefix the line with a time or a host name.
        auto begin = text.find('{');
        auto line = begin == std::string::npos ? Json() : Json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object() || !line.contains("event") || !line.contains("host"))
            continue;
        auto& knownState = hosts[line.value("host", "")];
        if (line["event"] == "request" && line.value("id", "") == id)
            explain(line, knownState, lines);
        else
            updateKnownState(knownState, line);
    }
    return lines;
}

}
