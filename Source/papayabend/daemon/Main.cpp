#include "papayabend/daemon/Daemon.h"
#include "papayabend/settings/Settings.h"

#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <spdlog/spdlog.h>

namespace {

namespace options = boost::program_options;
using namespace papayabend;

constexpr int exitUsage = 2;

spdlog::level::level_enum levelOf(const std::string& level)
{
    return level == "warning" ? spdlog::level::warn : spdlog::level::from_str(level);
}

int checkSettings(const std::string& file)
{
    base::LastReason reason;
    auto settings = settings::readSettings(file, reason);
    if (!settings) {
        std::cerr << reason.text << '\n';
        return exitUsage;
    }
    std::cout << settings::toJson(*settings) << '\n';
    return 0;
}

int runDaemon(const std::string& file)
{
    base::LastReason reason;
    auto settings = settings::readSettings(file, reason);
    if (!settings) {
        std::cerr << reason.text << '\n';
        return exitUsage;
    }
    spdlog::set_level(levelOf(settings->log.level));
    return daemon::run(*settings);
}

}

int main(int argc, char** argv)
{
    options::options_description description("papayabendd options");
    auto add = description.add_options();
    add("help", "print this help");
    add("settings", options::value<std::string>(), "settings file");
    add("check-settings", options::value<std::string>(),
        "check a settings file, print the effective settings and exit");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        if (values.contains("check-settings"))
            return checkSettings(values["check-settings"].as<std::string>());
        if (values.contains("settings"))
            return runDaemon(values["settings"].as<std::string>());
        std::cerr << "papayabendd: --settings FILE is required\n";
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "papayabendd: " << error.what() << '\n';
        return exitUsage;
    }
}
