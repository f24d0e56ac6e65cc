#include "papayabend/membership/HostList.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace papayabend::membership {

namespace {

    using Json = nlohmann::json;

    struct ListError : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    std::string textField(const Json& json, const char* field, size_t index)
    {
        auto it = json.find(field);
        if (it == json.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            throw ListError("host " + std::to_string(index) + ": '" + field + "' is missing or empty");
        return it->get<std::string>();
    }

    ListedHost parseHost(const Json& json, size_t index)
    {
        ListedHost host { textField(json, "name", index), textField(json, "callerAddress", index),
            textField(json, "peerAddress", index), textField(json, "failureDomain", index),
            textField(json, "region", index), false };
        auto state = textField(json, "state", index);
        if (state != "live" && state != "leaving")
            throw ListError("host '" + host.name + "': state '" + state + "' is not allowed (live, leaving)");
        host.isLeaving = state == "leaving";
        return host;
    }

}

std::optional<HostList> parseHostList(std::string_view text, base::LastReason& reason)
{
    try {
        auto json = Json::parse(text);
        HostList list { json.at("version").get<uint64_t>(), {} };
        for (const auto& it : json.at("hosts"))
            list.hosts.push_back(parseHost(it, list.hosts.size()));
        std::ranges::sort(list.hosts, {}, &ListedHost::name);
        auto repeated = std::ranges::adjacent_find(list.hosts, {}, &ListedHost::name);
        if (repeated != list.hosts.end())
            throw ListError("host '" + repeated->name + "' is listed twice");
        if (list.version == 0)
            throw ListError("version 0 is not allowed (from 1)");
        return list;
    } catch (const std::exception& error) {
        return base::fail(reason, std::string("host list is not valid: ") + error.what());
    }
}

}
