#include "papayabend/cli/Command.h"
#include "papayabend/cli/Explain.h"

#include <fstream>
#include <iostream>

namespace papayabend::cli {

namespace {

    int explain(const options::variables_map& values)
    {
        auto id = values["id"].as<std::string>();
        std::vector<std::string> lines;
        if (values.contains("log")) {
            for (const auto& name : values["log"].as<std::vector<std::string>>()) {
                std::ifstream file(name);
                if (!file) {
                    std::cerr << "papayabend: " << name << " cannot be read\n";
                    return Usage;
                }
                auto found = explainRequest(file, id);
                lines.insert(lines.end(), found.begin(), found.end());
            }
        } else {
            lines = explainRequest(std::cin, id);
        }
        for (const auto& line : lines)
            std::cout << line << '\n';
        if (!lines.empty())
            return Success;
        std::cerr
            << "papayabend: no line names the request " << id
            << "; only a sample of served requests is logged, and linesDropped counts the lines over the log limits\n";
        return Refused;
    }

}

std::vector<Command> logCommands()
{
    return { { "explain", "history of a request, from log files of gateways or standard input",
        [](options::options_description& description) {
            auto add = description.add_options();
            add("id", options::value<std::string>()->required(), "id of the request");
            add("log", options::value<std::vector<std::string>>()->multitoken(), "log files; standard input if absent");
        },
        explain, "id" } };
}

}
