#include "papayabend/transport/JsonBody.h"

#include <set>
#include <string>
#include <vector>

namespace papayabend::transport {

using Json = nlohmann::ordered_json;

std::optional<Json> parseJsonBody(std::string_view body, base::LastReason& reason)
{
    std::vector<std::set<std::string>> keys; // of each enclosing object, outermost first
    std::optional<std::string> duplicate;
    auto recordKeys = [&](int, Json::parse_event_t event, const Json& value) {
        if (event == Json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == Json::parse_event_t::key && !keys.back().insert(value.get<std::string>()).second)
            duplicate = value.get<std::string>();
        return true;
    };
    try {
        auto json = Json::parse(body, recordKeys);
        if (duplicate)
            return base::fail(reason, *duplicate + ": key appears twice");
        if (!json.is_object())
            return base::fail(reason, "the body must be a JSON object");
        return json;
    } catch (const Json::exception& error) {
        return base::fail(reason, error.what());
    }
}

}
