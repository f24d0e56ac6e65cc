#include "papayabend/cli/Command.h"

#include <iostream>

namespace papayabend::cli {

int run(const Command& command, std::span<const std::string> arguments)
{
    options::options_description description("options");
    description.add_options()("help", "print this help");
    command.addOptions(description);
    options::positional_options_description positional;
    if (!command.positional.empty())
        positional.add(command.positional.c_str(), 1);
    try {
        options::variables_map values;
        std::vector<std::string> copy(arguments.begin(), arguments.end());
        options::store(options::command_line_parser(copy).options(description).positional(positional).run(), values);
        if (values.contains("help")) {
            std::cout << "papayabend " << command.name << ": " << command.summary << "\n\n" << description;
            return Success;
        }
        options::notify(values);
        return command.run(values);
    } catch (const options::error& error) {
        std::cerr << "papayabend " << command.name << ": " << error.what() << '\n';
        return Usage;
    }
}

}
