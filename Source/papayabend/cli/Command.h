#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace papayabend::cli {

namespace options = boost::program_options;

/** Exit codes of the program; docs/operating.md lists them. */
enum ExitCode : int {
    Success = 0,
    Refused = 1, /**< The host refused the request, or the checked file is not valid. */
    Usage = 2,
    Unreachable = 3, /**< The host did not answer. */
    Partial = 4, /**< The answer is partial. */
};

/** \struct Command
 * \brief One subcommand. No subcommand changes the state of a host.
 */
struct Command {
    std::string name;
    std::string summary;
    std::function<void(options::options_description&)> addOptions;
    std::function<int(const options::variables_map&)> run;
    std::string positional; /**< Option that takes an argument without a name; empty: none. */
};

/** Commands that query the state of a running host. */
std::vector<Command> queryCommands();
/** Commands that send a request as a caller does. */
std::vector<Command> callerCommands();
/** Commands that check a file. */
std::vector<Command> checkCommands();
/** Commands that check a configuration before it is sent. */
std::vector<Command> configurationCommands();
/** Commands that read log files. */
std::vector<Command> logCommands();

/** Parses the arguments of \a command and runs it. Prints help on request. */
int run(const Command& command, std::span<const std::string> arguments);

}
