#include "papayabend/transport/TableJson.h"

#include <algorithm>
#include <iterator>

namespace papayabend::transport {

namespace {

    using Json = nlohmann::ordered_json;

    Json toJson(const table::Grant& grant)
    {
        Json json { { "weight", grant.weight }, { "priority", table::toString(grant.priority) } };
        json["limitPerSecond"] = grant.limitPerSecond ? Json(*grant.limitPerSecond) : Json(nullptr);
        return json;
    }

    Json toJson(const table::Objective& objective)
    {
        return { { "latencyMs", objective.latency.count() / 1000 }, { "latencyTarget", objective.latencyTarget },
            { "coverage", objective.coverage }, { "availability", objective.availability } };
    }

    table::Grant grantOf(const Json& json)
    {
        table::Grant grant;
        json.at("weight").get_to(grant.weight);
        if (!json.at("limitPerSecond").is_null())
            grant.limitPerSecond = json.at("limitPerSecond").get<double>();
        if (json.at("priority") == table::toString(table::Priority::Bulk))
            grant.priority = table::Priority::Bulk;
        return grant;
    }

    table::Objective objectiveOf(const std::string& service, const Json& json)
    {
        return { service, std::chrono::milliseconds(json.at("latencyMs").get<int64_t>()),
            json.at("latencyTarget").get<double>(), json.at("coverage").get<double>(),
            json.at("availability").get<double>() };
    }

    table::Row rowOf(const std::string& account, const Json& grants, const std::vector<std::string>& services)
    {
        table::Row row { account, {} };
        std::ranges::transform(services, std::back_inserter(row.grants), [&](const std::string& service) {
            return grants.contains(service) ? std::optional(grantOf(grants.at(service))) : std::nullopt;
        });
        return row;
    }

}

Json toJson(const table::Table& table)
{
    Json json { { "version", table.version }, { "services", table.services }, { "accounts", Json::object() },
        { "objectives", Json::object() } };
    for (const auto& row : table.rows) {
        auto& grants = json["accounts"][row.account] = Json::object();
        for (size_t n = 0; n < row.grants.size(); ++n) {
            if (row.grants[n])
                grants[table.services[n]] = toJson(*row.grants[n]);
        }
    }
    for (const auto& it : table.objectives)
        json["objectives"][it.service] = toJson(it);
    return json;
}

std::optional<table::Table> parseTableJson(const Json& json, base::LastReason& reason)
{
    try {
        table::Table table;
        json.at("version").get_to(table.version);
        json.at("services").get_to(table.services);
        for (const auto& [account, grants] : json.at("accounts").items())
            table.rows.push_back(rowOf(account, grants, table.services));
        std::ranges::sort(table.rows, {}, &table::Row::account);
        for (const auto& [service, objective] : json.at("objectives").items())
            table.objectives.push_back(objectiveOf(service, objective));
        return table;
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string("the host sent a table that is not valid: ") + error.what());
    }
}

}
