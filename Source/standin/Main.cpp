#include "standin/ConfigService.h"
#include "standin/UpstreamServer.h"

#include <boost/program_options.hpp>
#include <deque>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

namespace options = boost::program_options;
using nlohmann::json;

// Writes a catalogue in the shape of fitting-desk: every shard on two upstreams of two slots.
json makeCatalog(const std::string& ip, int firstPort, int shards)
{
    json catalog { { "version", 1 }, { "upstreams", json::array() }, { "services", json::array() } };
    json shardMap = json::array();
    for (int n = 0; n < shards; ++n) {
        json replicas = json::array();
        for (int replica = 0; replica < 2; ++replica) {
            auto name = "u" + std::to_string(n) + (replica ? "b" : "a");
            catalog["upstreams"].push_back(
                { { "name", name }, { "address", ip + ":" + std::to_string(firstPort + 2 * n + replica) },
                    { "failureDomain", replica ? "seeb" : "ruwi" }, { "slots", 2 }, { "connectionLimit", 25 },
                    { "connectTimeUs", 6000 } });
            replicas.push_back(name);
        }
        shardMap.push_back({ { "name", "s" + std::to_string(n) }, { "units", 1000 }, { "replicas", replicas } });
    }
    catalog["services"].push_back(
        { { "name", "fitting-desk" }, { "snapshots", json::array({ { { "id", 1 }, { "shards", shardMap } } }) } });
    return catalog;
}

int run(const options::variables_map& values)
{
    auto ip = values["ip"].as<std::string>();
    auto firstPort = values["first-port"].as<int>();
    auto shards = values["shards"].as<int>();
    std::deque<papayabend::standin::UpstreamServer> upstreams;
    for (int n = 0; n < 2 * shards; ++n)
        upstreams.emplace_back(papayabend::standin::UpstreamSettings {
            .address = ip + ":" + std::to_string(firstPort + n), .snapshots = { 1 } });
    auto folder = values["folder"].as<std::string>();
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/catalog") << makeCatalog(ip, firstPort, shards).dump();
    return papayabend::standin::serveConfig(ip, values["config-port"].as<int>(), folder) ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    options::options_description description("papayabend-standin options");
    auto add = description.add_options();
    add("help", "print this help");
    add("ip", options::value<std::string>()->default_value("127.0.0.1"), "address to listen on");
    add("config-port", options::value<int>()->default_value(8500), "port of the configuration service");
    add("first-port", options::value<int>()->default_value(9000), "port of the first upstream");
    add("shards", options::value<int>()->default_value(20), "shards of the service");
    add("folder", options::value<std::string>()->required(), "folder with one file for each published value");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        return run(values);
    } catch (const std::exception& error) {
        std::cerr << "papayabend-standin: " << error.what() << '\n';
        return 2;
    }
}
