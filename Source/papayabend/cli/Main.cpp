#include <boost/program_options.hpp>
#include <exception>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

namespace options = boost::program_options;

int runQuery(const options::variables_map& values)
{
    httplib::Client client("http://" + values["host"].as<std::string>());
    nlohmann::json body { { "account", values["account"].as<std::string>() },
        { "service", values["service"].as<std::string>() }, { "query", values["query"].as<std::string>() },
        { "deadlineMs", values["deadline-ms"].as<unsigned>() } };
    auto response = client.Post("/v1/search", body.dump(), "application/json");
    if (!response) {
        std::cerr << "papayabend: cannot reach the host: " << httplib::to_string(response.error()) << '\n';
        return 3;
    }
    std::cout << nlohmann::ordered_json::parse(response->body).dump(2) << '\n';
    return response->status == 200 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    options::options_description description("papayabend query options");
    auto add = description.add_options();
    add("help", "print this help");
    add("host", options::value<std::string>()->default_value("127.0.0.1:8080"), "host to ask");
    add("account", options::value<std::string>()->required(), "client account");
    add("service", options::value<std::string>()->required(), "service to search");
    add("query", options::value<std::string>()->required(), "query text");
    add("deadline-ms", options::value<unsigned>()->default_value(1000), "time for the answer, in milliseconds");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        return runQuery(values);
    } catch (const std::exception& error) {
        std::cerr << "papayabend: " << error.what() << '\n';
        return 2;
    }
}
