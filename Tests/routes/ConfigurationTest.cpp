#include "papayabend/routes/Configuration.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(Configuration)
{
    base::LastReason reason;

    static routes::Route route(const std::string& name, const std::string& prefix)
    {
        routes::Route route;
        route.name = name;
        route.host = "shop.example";
        route.prefix = prefix;
        route.destinations = { { "desk", 1 } };
        return route;
    }

    std::shared_ptr<const routes::Configuration> configuration(std::vector<routes::Route> list)
    {
        routes::Configuration value;
        value.version = 1;
        value.routes = std::move(list);
        return routes::indexed(std::move(value), reason);
    }
};

// Guards against a request that is handled by the route of a shorter prefix, and so is sent to another service.
TEST(Configuration, LongestPrefixSelectsTheRoute)
{
    auto value = configuration({ route("all", "/"), route("a", "/a/"), route("ab", "/a/b/") });
    STRCMP_EQUAL("ab", routes::findRoute(*value, "shop.example", "/a/b/c")->name.c_str());
    STRCMP_EQUAL("a", routes::findRoute(*value, "shop.example", "/a/bc")->name.c_str());
    STRCMP_EQUAL("all", routes::findRoute(*value, "shop.example", "/a")->name.c_str());
}

// Guards against a query string that affects the choice of the route.
TEST(Configuration, QueryIsNotPartOfThePath)
{
    auto value = configuration({ route("a", "/a/") });
    STRCMP_EQUAL("a", routes::findRoute(*value, "shop.example", "/a/x?next=/b/")->name.c_str());
    POINTERS_EQUAL(nullptr, routes::findRoute(*value, "shop.example", "/b?x=/a/"));
}

// Guards against a route that handles requests to another virtual host.
TEST(Configuration, VirtualHostsAreSeparate)
{
    auto value = configuration({ route("a", "/a/") });
    POINTERS_EQUAL(nullptr, routes::findRoute(*value, "other.example", "/a/x"));
    STRCMP_EQUAL("shop.example", routes::canonicalHost("Shop.Example:8080").c_str());
    STRCMP_EQUAL("shop.example", routes::canonicalHost("shop.example").c_str());
}

// Guards against an invalid configuration that replaces a valid one, and against an error message that does not name
// the route.
TEST(Configuration, InvalidRoutesAreRefusedWithTheirName)
{
    auto both = route("r1", "/a/");
    both.shards = { "s1" };
    POINTERS_EQUAL(nullptr, configuration({ both }).get());
    STRCMP_EQUAL("route \"r1\" needs either destinations or shards", reason.text.c_str());
    POINTERS_EQUAL(nullptr, configuration({ route("r2", "/a") }).get());
    STRCMP_EQUAL("route \"r2\" prefix \"/a\" must begin and end with a slash", reason.text.c_str());
}
