#include "papayabend/routes/ConfigurationCheck.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::routes;
using namespace std::chrono_literals;

TEST_GROUP(ConfigurationCheck)
{
    Configuration value;

    void setup() override
    {
        value.version = 4;
        value.maxConnections = { { "desk", 30 }, { "s0", 0 }, { "s1", 0 }, { "s2", 0 }, { "s3", 0 } };
        value.routes.push_back(route("desk", "/desk/"));
        auto search = route("search", "/search/");
        search.destinations.clear();
        search.shards = { "s0", "s1", "s2", "s3" };
        search.maxRecords = 10;
        search.minShardShare = 0.75;
        value.routes.push_back(search);
    }

    static Route route(const std::string& name, const std::string& prefix)
    {
        Route route;
        route.name = name;
        route.host = "shop.example";
        route.prefix = prefix;
        route.timeout = 2s;
        route.latencyObjective = 100ms;
        route.destinations = { { "desk", 1 } };
        return route;
    }

    /** Checks that there is exactly one finding, with this severity, entry and text. */
    void checkFinding(Severity severity, const char* entry, const char* text) const
    {
        auto findings = checkConfiguration(value);
        LONGS_EQUAL(1, findings.size());
        STRCMP_EQUAL(entry, findings[0].entry.c_str());
        STRCMP_EQUAL(text, findings[0].text.c_str());
        CHECK_TRUE(findings[0].severity == severity);
    }

    void checkWarning(const char* entry, const char* text) const { checkFinding(Severity::Warning, entry, text); }
    void checkError(const char* entry, const char* text) const { checkFinding(Severity::Error, entry, text); }
};

// Guards against findings on a proper configuration, which operators would learn to overlook.
TEST(ConfigurationCheck, ProperConfigurationHasNoFindings) { LONGS_EQUAL(0, checkConfiguration(value).size()); }

// Guards against sending a configuration that hosts refuse, of which they report only the first invalid route.
TEST(ConfigurationCheck, EachInvalidRouteIsAnError)
{
    value.routes[0].prefix = "desk";
    value.routes[1].maxAttempts = 0;
    auto findings = checkConfiguration(value);
    LONGS_EQUAL(2, findings.size());
    STRCMP_EQUAL("route shop.exampledesk", findings[0].entry.c_str());
    STRCMP_EQUAL("needs at least one attempt", findings[1].text.c_str());
    CHECK_TRUE(findings[0].severity == Severity::Error && findings[1].severity == Severity::Error);
}

// Guards against an empty configuration, with which every request gets 404.
TEST(ConfigurationCheck, ConfigurationWithoutRoutesIsAnError)
{
    value.routes.clear();
    value.maxConnections.clear();
    checkError("configuration", "it has no route, so that no request is served");
}

// Guards against a route whose requests another one takes.
TEST(ConfigurationCheck, RouteBehindOneOfTheSameAddressNeverMatches)
{
    value.routes.push_back(route("second", "/desk/"));
    checkWarning("route shop.example/desk/",
        "\"second\" never matches: \"desk\" has the same virtual host and prefix and comes first");
}

// Guards against a prefix that is compared with a path without a query.
TEST(ConfigurationCheck, PrefixThatNoPathContainsNeverMatches)
{
    value.routes[0].prefix = "/desk?x=/";
    checkWarning("route shop.example/desk?x=/", "never matches: the prefix has a character that no path contains");
    value.routes[0].prefix = "/desk/";
    value.routes[0].host = "http://shop";
    checkWarning(
        "route http://shop/desk/", "never matches: the virtual host has a character that no host name contains");
}

// Guards against a split that sends all requests to its first service although its weights say none.
TEST(ConfigurationCheck, SplitWithoutWeight)
{
    value.routes[0].destinations = { { "desk", 1 }, { "s0", 0 } };
    checkWarning("route shop.example/desk/", "service s0 has the weight 0 and gets no request");
    value.routes[0].destinations = { { "desk", 0 } };
    checkError("route shop.example/desk/", "the weights of its destinations add up to 0");
    value.routes[0].destinations = { { "desk", 1 }, { "desk", 2 } };
    checkWarning("route shop.example/desk/", "names service desk twice");
}

// Guards against names that are misspelt in a route or in the list of services.
TEST(ConfigurationCheck, ServicesAndRoutesNameEachOther)
{
    value.maxConnections["dsek"] = 3;
    checkWarning("service dsek", "no route uses it");
    value.maxConnections.erase("dsek");
    value.maxConnections.erase("s2");
    checkWarning("route shop.example/search/", "service s2 is not listed");
}

// Guards against an objective that can't be met before the request is given up.
TEST(ConfigurationCheck, ObjectiveAboveTheTimeout)
{
    value.routes[0].latencyObjective = 3s;
    checkWarning("route shop.example/desk/", "the latency objective 3000 ms is above the timeout 2000 ms");
    value.routes[0].timeout = 0s;
    LONGS_EQUAL(0, checkConfiguration(value).size());
}

// Guards against a minimum share that no answer reaches, or that makes each shard necessary.
TEST(ConfigurationCheck, MinimumShareAboveWhatTheShardsGive)
{
    auto& share = value.routes[1].minShardShare;
    share = 1.1;
    checkError("route shop.example/search/", "the minimum share 1.1 is above what all shards together give");
    share = 0.9;
    checkWarning("route shop.example/search/", "the minimum share 0.9 of 4 shards lets none of them be missing");
    share = -0.5;
    checkWarning("route shop.example/search/", "the minimum share -0.5 is below 0");
    share = 1;
    LONGS_EQUAL(0, checkConfiguration(value).size());
    value.routes[0].minShardShare = 0.5;
    checkWarning("route shop.example/desk/", "minimum share and number of records have no effect without shards");
}

// Guards against merged answers that lack what callers ask for.
TEST(ConfigurationCheck, FanOutThatCountsOrKeepsNothing)
{
    value.routes[1].maxRecords = 0;
    checkWarning("route shop.example/search/", "merged answers have no records: their number is 0");
    value.routes[1].maxRecords = 10;
    value.routes[1].shards.emplace_back("s0");
    checkWarning("route shop.example/search/", "names a shard twice, which counts as two shards");
}

// Guards against one request that may use all connections of a service.
TEST(ConfigurationCheck, MoreAttemptsThanConnections)
{
    value.routes[0].maxAttempts = 31;
    checkWarning("route shop.example/desk/",
        "one request may make 31 attempts at service desk, whose upstreams accept 30 connections from all hosts");
    value.maxConnections["desk"] = 0;
    LONGS_EQUAL(0, checkConfiguration(value).size());
}

// Guards against sizes with which no request is accepted, or more than a host can hold.
TEST(ConfigurationCheck, SizesAndTimesOfClients)
{
    value.limits.headerBytes = 0;
    checkError("limits", "no request fits: the size of its header is at most 0");
    value.limits = { .bodyBytes = 50'000'000 };
    checkWarning(
        "limits", "bodies of 50000000 bytes are accepted, but a host holds at most 33554432 bytes of all messages");
    value.limits = { .headerTimeout = 20s };
    checkWarning("limits", "the header timeout 20000 ms is above the idle timeout 15000 ms");
}

// Guards against a version that is sent and that no host takes.
TEST(ConfigurationCheck, VersionThatIsNotHigherIsAnError)
{
    auto next = value;
    auto findings = checkSuccession(value, next);
    LONGS_EQUAL(1, findings.size());
    CHECK_TRUE(findings[0].severity == Severity::Error);
    STRCMP_EQUAL("hosts ignore version 4, since version 4 is in force", findings[0].text.c_str());
    ++next.version;
    LONGS_EQUAL(0, checkSuccession(value, next).size());
}

// Guards against a change that the comparison does not show.
TEST(ConfigurationCheck, DifferencesByRouteAndService)
{
    auto next = value;
    std::ranges::reverse(next.routes);
    LONGS_EQUAL(0, compareConfigurations(value, next).size());
    auto& search = next.routes[0];
    search.shards = { "s0", "s1", "s2", "s4" };
    search.maxAttempts = 2;
    search.idempotent = true;
    next.routes[1].prefix = "/new/";
    next.maxConnections.erase("s3");
    next.maxConnections["s4"] = 0;
    next.maxConnections["desk"] = 40;
    next.coldRequestsPerSecond["desk"] = 4.5;
    next.limits.bodyBytes = 1000;
    std::string text;
    for (const auto& line : compareConfigurations(value, next))
        text += line + '\n';
    STRCMP_EQUAL("route shop.example/desk/: removed\n"
                 "route shop.example/search/: idempotent no -> yes\n"
                 "route shop.example/search/: attempts 1 -> 2\n"
                 "route shop.example/search/: shard s3 removed\n"
                 "route shop.example/search/: shard s4 added\n"
                 "route shop.example/new/: added\n"
                 "service desk: connections 30 -> 40\n"
                 "service s3: removed\n"
                 "service s4: added\n"
                 "service desk: requests a second while cold unbounded -> 4.5\n"
                 "limits: body bytes 262144 -> 1000\n",
        text.c_str());
}
