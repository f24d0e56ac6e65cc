#include "papayabend/cli/ConfigurationReport.h"
#include "platform/Calls.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace papayabend;
using nlohmann::json;

TEST_GROUP(ConfigurationReport)
{
    std::string folder;
    std::ostringstream output;
    std::ostringstream errors;

    void setup() override
    {
        std::string pattern = "/tmp/papayabend-test-XXXXXX";
        folder = mkdtemp(pattern.data());
    }

    void teardown() override
    {
        std::remove(name("next").c_str());
        std::remove(name("in-force").c_str());
        rmdir(folder.c_str());
    }

    std::string name(const std::string& file) const { return folder + "/" + file + ".json"; }

    static json value(int version)
    {
        return { { "version", version },
            { "routes",
                { { { "name", "desk" }, { "host", "Shop.example:80" }, { "prefix", "/desk/" }, { "type", "order" },
                    { "service", "desk" }, { "timeout-ms", 500 }, { "target-latency-ms", 100 } } } },
            { "services", { { { "name", "desk" }, { "max-connections", 30 } } } } };
    }

    std::string write(const std::string& file, const std::string& text) const
    {
        std::ofstream(name(file)) << text;
        return name(file);
    }

    int report(const std::string& next, std::optional<std::string> against = std::nullopt, bool asJson = false)
    {
        output.str({});
        errors.str({});
        return cli::reportConfiguration({ next, std::move(against), asJson }, platform::adapter(), output, errors);
    }
};

// Guards against a script that sends a configuration with errors, or stops at a proper one.
TEST(ConfigurationReport, ExitCodeTellsWarningsFromErrors)
{
    auto next = value(4);
    LONGS_EQUAL(0, report(write("next", next.dump())));
    STRCMP_EQUAL("version 4, 1 routes, 1 services, 0 findings\n", output.str().c_str());
    next["routes"][0]["target-latency-ms"] = 800;
    LONGS_EQUAL(1, report(write("next", next.dump())));
    STRCMP_EQUAL("version 4, 1 routes, 1 services, 1 findings\n"
                 "warning: route shop.example/desk/: the latency objective 800 ms is above the timeout 500 ms\n",
        output.str().c_str());
    next["routes"][0]["max-attempts"] = 0;
    LONGS_EQUAL(2, report(write("next", next.dump())));
    STRCMP_CONTAINS("error: route shop.example/desk/: needs at least one attempt\n", output.str().c_str());
}

// Guards against a file that cannot be read or parsed and that is taken for a proper one.
TEST(ConfigurationReport, UnreadableFileIsAnError)
{
    LONGS_EQUAL(2, report(name("next")));
    STRCMP_CONTAINS("cannot be read", errors.str().c_str());
    for (const auto* text : { "", "{", "[]", R"({"version":1})", R"({"version":"1","routes":[]})" }) {
        LONGS_EQUAL(2, report(write("next", text)));
        CHECK_FALSE(errors.str().empty());
        STRCMP_EQUAL("", output.str().c_str());
    }
    auto next = write("next", value(4).dump());
    LONGS_EQUAL(2, report(next, name("in-force")));
}

// Guards against a version that hosts ignore, and against a change that is not shown.
TEST(ConfigurationReport, DifferencesFromTheVersionInForce)
{
    auto inForce = write("in-force", value(4).dump());
    auto next = value(5);
    next["services"][0]["max-connections"] = 20;
    LONGS_EQUAL(0, report(write("next", next.dump()), inForce));
    STRCMP_EQUAL("version 5, 1 routes, 1 services, 0 findings\ndifference: service desk: connections 30 -> 20\n",
        output.str().c_str());
    LONGS_EQUAL(0, report(name("next"), inForce, true));
    auto printed = json::parse(output.str());
    LONGS_EQUAL(5, printed["version"].get<int>());
    LONGS_EQUAL(0, printed["findings"].size());
    STRCMP_EQUAL("service desk: connections 30 -> 20", printed["differences"][0].get<std::string>().c_str());
    LONGS_EQUAL(2, report(write("next", value(4).dump()), inForce));
    STRCMP_CONTAINS("error: configuration: hosts ignore version 4", output.str().c_str());
}
