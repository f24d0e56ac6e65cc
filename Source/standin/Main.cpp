#include "standin/ConfigService.h"
#include "standin/ControlInterface.h"
#include "standin/StandinSettings.h"
#include "standin/UpstreamServer.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <pthread.h>
#include <thread>

namespace {

namespace options = boost::program_options;
using namespace papayabend;

constexpr int exitUsage = 2;

// Replaces the file in one step, so that a reader never sees a part of it.
void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

int run(const standin::StandinSettings& settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::filesystem::create_directories(settings.folder);
    standin::UpstreamServer upstreams(settings);
    auto publish = [&] { writeFile(settings.folder + "/catalog", standin::catalogOf(upstreams.deployment())); };
    publish();
    standin::ConfigService config(settings.folder, settings.platform);
    httplib::Server server;
    server.new_task_queue = [&] { return new httplib::ThreadPool(settings.platformThreads); };
    config.addRoutes(server);
    standin::addControlRoutes(server, upstreams, config, publish);
    auto port = static_cast<int>(settings.platformPort);
    if (port == 0)
        port = server.bind_to_any_port(settings.ip.c_str());
    else if (!server.bind_to_port(settings.ip.c_str(), port))
        port = -1;
    if (port < 0) {
        std::cerr << "papayabend-standin: cannot listen on the platform port\n";
        return 1;
    }
    std::thread listener([&] { server.listen_after_bind(); });
    // Scripts read this line to learn the port that the system chose.
    std::cout << R"({"platform":")" << settings.ip << ':' << port << R"(","upstreams":)"
              << upstreams.deployment().upstreams.size() << "}" << std::endl; // NOLINT(performance-avoid-endl)
    int signal = 0;
    sigwait(&signals, &signal);
    config.stop();
    server.stop();
    listener.join();
    return 0;
}

}

int main(int argc, char** argv)
{
    options::options_description description("papayabend-standin options");
    auto add = description.add_options();
    add("help", "print this help");
    add("settings", options::value<std::string>()->required(), "settings file, JSON with comments");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        base::LastReason reason;
        auto settings = standin::readSettings(values["settings"].as<std::string>(), reason);
        if (settings)
            return run(*settings);
        std::cerr << reason.text << '\n';
    } catch (const std::exception& error) {
        std::cerr << "papayabend-standin: " << error.what() << '\n';
    }
    return exitUsage;
}
