#include "papayabend/cli/Command.h"
#include "papayabend/cli/ConfigurationReport.h"
#include "platform/Calls.h"

#include <iostream>

namespace papayabend::cli {

namespace {

    int checkConfiguration(const options::variables_map& values)
    {
        ConfigurationReport report { values["file"].as<std::string>(), std::nullopt, values["json"].as<bool>() };
        if (values.contains("against"))
            report.against = values["against"].as<std::string>();
        return reportConfiguration(report, platform::adapter(), std::cout, std::cerr);
    }

}

std::vector<Command> configurationCommands()
{
    return { { "check-configuration", "check a configuration before it is sent, and compare it with the one in force",
        [](options::options_description& description) {
            auto add = description.add_options();
            add("file", options::value<std::string>()->required(), "configuration as the store holds it (JSON)");
            add("against", options::value<std::string>(), "file with the configuration in force");
            add("json", options::bool_switch(), "print the result as JSON");
        },
        checkConfiguration, "file" } };
}

}
