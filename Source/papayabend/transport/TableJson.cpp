#include "papayabend/transport/TableJson.h"

#include <map>

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

    // Returns all cells of the table by name.
    std::map<std::string, std::string> cellsOf(const Json& table)
    {
        std::map<std::string, std::string> cells;
        for (const auto& [account, grants] : table.at("accounts").items()) {
            for (const auto& [service, grant] : grants.items())
                cells["account " + account + ", service " + service] = grant.dump();
        }
        for (const auto& [service, objective] : table.at("objectives").items())
            cells["objective of " + service] = objective.dump();
        return cells;
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

std::vector<std::string> tableDifferences(const Json& before, const Json& after)
{
    auto old = cellsOf(before);
    auto cells = cellsOf(after);
    std::vector<std::string> lines;
    for (const auto& [name, cell] : old) {
        auto it = cells.find(name);
        if (it == cells.end())
            lines.push_back("- " + name + ": " + cell);
        else if (it->second != cell)
            lines.push_back("~ " + name + ": " + cell + " -> " + it->second);
    }
    for (const auto& [name, cell] : cells) {
        if (!old.contains(name))
            lines.push_back("+ " + name + ": " + cell);
    }
    return lines;
}

}
