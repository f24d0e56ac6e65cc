#include "papayabend/cli/Command.h"

#include <algorithm>
#include <exception>
#include <iomanip>
#include <iostream>

namespace {

using namespace papayabend;

std::vector<cli::Command> allCommands()
{
    auto all = cli::checkCommands();
    std::ranges::move(cli::configurationCommands(), std::back_inserter(all));
    std::ranges::move(cli::logCommands(), std::back_inserter(all));
    std::ranges::move(cli::queryCommands(), std::back_inserter(all));
    std::ranges::move(cli::callerCommands(), std::back_inserter(all));
    all.push_back({ "version", "version of this program", [](cli::options::options_description&) {},
        [](const cli::options::variables_map&) {
            std::cout << PAPAYABEND_VERSION << '\n';
            return static_cast<int>(cli::Success);
        },
        {} });
    return all;
}

int printHelp(std::ostream& stream, int exitCode)
{
    stream << "papayabend COMMAND [OPTIONS]; COMMAND --help describes the options. No command changes a host.\n\n";
    for (const auto& it : allCommands())
        stream << "  " << std::left << std::setw(21) << it.name << it.summary << '\n';
    return exitCode;
}

int runCommand(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return printHelp(std::cerr, cli::Usage);
    if (arguments[0] == "--help" || arguments[0] == "help")
        return printHelp(std::cout, cli::Success);
    auto all = allCommands();
    auto it = std::ranges::find(all, arguments[0], &cli::Command::name);
    if (it == all.end()) {
        std::cerr << "papayabend: unknown command " << arguments[0] << '\n';
        return printHelp(std::cerr, cli::Usage);
    }
    return cli::run(*it, std::span(arguments).subspan(1));
}

}

int main(int argc, char** argv)
{
    try {
        return runCommand({ argv + 1, argv + argc });
    } catch (const std::exception& error) {
        std::cerr << "papayabend: " << error.what() << '\n';
        return cli::Refused;
    }
}
