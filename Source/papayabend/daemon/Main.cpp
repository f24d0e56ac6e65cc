#include "papayabend/engine/Engine.h"
#include "papayabend/transport/HttpEntry.h"
#include "papayabend/transport/PlatformClient.h"
#include "papayabend/transport/Shell.h"

#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <spdlog/spdlog.h>

namespace {

namespace options = boost::program_options;

int run(const options::variables_map& values)
{
    papayabend::engine::Engine engine(1);
    papayabend::transport::Shell shell(engine);
    papayabend::transport::PlatformClient platform(
        values["platform"].as<std::string>(), "catalog", [&](const std::string& text) {
            shell.perform(engine.valuePublished("catalog", text, papayabend::base::BootClock::now()));
            return engine.catalog()->version;
        });
    papayabend::transport::HttpEntry entry(engine, shell);
    auto port = values["port"].as<int>();
    if (!entry.serve(values["ip"].as<std::string>(), port)) {
        spdlog::error("cannot listen on port {}", port);
        return 1;
    }
    return 0;
}

}

int main(int argc, char** argv)
{
    options::options_description description("papayabendd options");
    auto add = description.add_options();
    add("help", "print this help");
    add("ip", options::value<std::string>()->default_value("127.0.0.1"), "address to listen on");
    add("port", options::value<int>()->default_value(8080), "port for callers");
    add("platform", options::value<std::string>()->default_value("127.0.0.1:8500"), "configuration service");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        return run(values);
    } catch (const std::exception& error) {
        std::cerr << "papayabendd: " << error.what() << '\n';
        return 2;
    }
}
