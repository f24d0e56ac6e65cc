#include "papayabend/cli/Command.h"
#include "papayabend/cli/HostClient.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace papayabend::cli {

namespace {

    using Print = std::function<void(const Json&)>;

    std::string textOf(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

    void printFields(const Json& json)
    {
        for (const auto& [key, value] : json.items())
            std::cout << std::left << std::setw(20) << key << textOf(value) << '\n';
    }

    void printUpstreams(const Json& json)
    {
        auto row = [](const auto& name, const auto& address, const auto& domain, const auto& condition,
                       const auto& inFlight, const auto& latency, const auto& connections) {
            std::cout << std::left << std::setw(20) << name << std::setw(23) << address << std::setw(10) << domain
                      << std::setw(13) << condition << std::right << std::setw(9) << inFlight << std::setw(12)
                      << latency << std::setw(13) << connections << '\n';
        };
        row("upstream", "address", "domain", "condition", "in flight", "latency ms", "connections");
        for (const auto& it : json.at("upstreams"))
            row(textOf(it["name"]), textOf(it["address"]), textOf(it["failureDomain"]),
                it.value("leaving", false) ? "leaving" : textOf(it["condition"]), textOf(it["inFlight"]),
                static_cast<int64_t>(it["latencyMs"].get<double>() * 10) / 10.0,
                textOf(it["readyConnections"]) + "/" + textOf(it["connections"]));
    }

    void printTable(const Json& json)
    {
        std::cout << "version " << json.at("version") << ", in force since " << textOf(json.at("inForceSince")) << '\n';
        for (const auto& [account, grants] : json.at("accounts").items()) {
            for (const auto& [service, grant] : grants.items())
                std::cout << std::left << std::setw(20) << account << std::setw(18) << service << "weight "
                          << std::setw(8) << textOf(grant["weight"]) << std::setw(12) << textOf(grant["priority"])
                          << (grant["limitPerSecond"].is_null() ? ""
                                                                : "limit " + textOf(grant["limitPerSecond"]) + "/s")
                          << '\n';
        }
    }

    int query(const options::variables_map& values, const std::string& path, const Print& print)
    {
        auto answer = getFrom(values["host"].as<std::string>(), path);
        if (!answer)
            return Unreachable;
        if (answer->status != 200)
            return reportRefusal(*answer);
        if (values["json"].as<bool>() || !answer->json.is_object())
            std::cout << answer->text;
        else
            print(answer->json);
        return Success;
    }

    Command queryCommand(const char* name, const char* summary, const char* path, Print print)
    {
        return { name, summary,
            [](options::options_description& description) {
                auto add = description.add_options();
                add("host", options::value<std::string>()->default_value("127.0.0.1:8082"),
                    "operator address of the host");
                add("json", options::bool_switch(), "print the answer as JSON");
            },
            [path = std::string(path), print = std::move(print)](
                const options::variables_map& values) { return query(values, path, print); },
            {} };
    }

    Command reportCommand()
    {
        auto command = queryCommand("report", "burn rates of the error budgets of a host", "/v1/report", {});
        command.run = [](const options::variables_map& values) {
            auto isJson = values["json"].as<bool>();
            auto answer = getFrom(values["host"].as<std::string>(), isJson ? "/v1/report" : "/v1/report.txt");
            if (!answer)
                return static_cast<int>(Unreachable);
            if (answer->status != 200)
                return reportRefusal(*answer);
            std::cout << answer->text;
            return static_cast<int>(Success);
        };
        return command;
    }

}

std::vector<Command> queryCommands()
{
    return {
        queryCommand("status", "state of a host", "/v1/status", printFields),
        queryCommand("table", "table in force on a host, and since when", "/v1/table", printTable),
        reportCommand(),
        queryCommand("upstreams", "state of the upstreams as seen by a host", "/v1/upstreams", printUpstreams),
    };
}

}
