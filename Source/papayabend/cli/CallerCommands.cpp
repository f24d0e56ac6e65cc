#include "papayabend/cli/Command.h"
#include "papayabend/cli/HostClient.h"

#include <iostream>

namespace papayabend::cli {

namespace {

    void addCallerOptions(options::options_description& description)
    {
        auto add = description.add_options();
        add("host", options::value<std::string>()->default_value("127.0.0.1:8080"), "caller address of the host");
        add("account", options::value<std::string>()->required(), "client account");
        add("service", options::value<std::string>()->required(), "service");
        add("json", options::bool_switch(), "print the answer as JSON");
    }

    void printAnswer(const Json& answer)
    {
        const auto& coverage = answer.at("coverage");
        std::cout << "snapshot " << answer.at("snapshot") << ", searched " << coverage.at("unitsSearched") << " of "
                  << coverage.at("unitsTotal") << " units, " << answer.at("attempts") << " attempts\n";
        for (const auto& it : coverage.at("missing"))
            std::cout << "missing " << it.at("shard").get<std::string>() << " (" << it.at("units")
                      << " units): " << it.at("reason").get<std::string>() << '\n';
        for (const auto& it : answer.at("hits"))
            std::cout << it.at("score") << "  " << it.at("document").get<std::string>() << '\n';
    }

    int search(const options::variables_map& values)
    {
        auto deadline = values["deadline-ms"].as<unsigned>();
        Json body { { "account", values["account"].as<std::string>() },
            { "service", values["service"].as<std::string>() }, { "query", values["query"].as<std::string>() },
            { "deadlineMs", deadline }, { "maxHits", values["max-hits"].as<unsigned>() } };
        auto answer = postTo(values["host"].as<std::string>(), "/v1/search", body, deadline);
        if (!answer)
            return Unreachable;
        if (answer->status != 200)
            return reportRefusal(*answer);
        if (values["json"].as<bool>())
            std::cout << answer->json.dump(2) << '\n';
        else
            printAnswer(answer->json);
        return answer->json.at("coverage").at("complete").get<bool>() ? Success : Partial;
    }

    int entryHosts(const options::variables_map& values)
    {
        auto answer = getFrom(values["host"].as<std::string>(),
            "/v1/entry-hosts?account=" + values["account"].as<std::string>()
                + "&service=" + values["service"].as<std::string>());
        if (!answer)
            return Unreachable;
        if (answer->status != 200)
            return reportRefusal(*answer);
        if (values["json"].as<bool>()) {
            std::cout << answer->text << '\n';
            return Success;
        }
        for (const auto& it : answer->json.at("hosts"))
            std::cout << (it.is_string() ? it.get<std::string>() : it.dump()) << '\n';
        return Success;
    }

}

std::vector<Command> callerCommands()
{
    return {
        { "query", "send a search request as a caller",
            [](options::options_description& description) {
                addCallerOptions(description);
                auto add = description.add_options();
                add("query", options::value<std::string>()->required(), "query text");
                add("deadline-ms", options::value<unsigned>()->default_value(1000),
                    "deadline of the request in milliseconds");
                add("max-hits", options::value<unsigned>()->default_value(10), "maximum number of hits to return");
            },
            search, {} },
        { "entry-hosts", "hosts that a caller should use", addCallerOptions, entryHosts, {} },
    };
}

}
