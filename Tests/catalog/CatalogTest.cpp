#include "papayabend/catalog/Catalog.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(Catalog)
{
    catalog::UpstreamNames names;
    base::LastReason reason;
};

// Guards against an older snapshot being preferred because the platform lists it first.
TEST(Catalog, SnapshotsAreOrderedNewestFirst)
{
    auto parsed = catalog::parseCatalog(R"({"version":1,"upstreams":[],"services":[{"name":"s","snapshots":[
        {"id":3,"shards":[]},{"id":5,"shards":[]}]}]})",
        names, reason);
    CHECK(parsed.has_value());
    LONGS_EQUAL(5, parsed->services[0].snapshots[0].id);
}

// Guards against an upstream number that changes between catalogue versions, which would assign the state of one
// upstream to another.
TEST(Catalog, UpstreamNumbersAreStableOverVersions)
{
    constexpr auto upstream = R"({"address":"127.0.0.1:1","failureDomain":"a","slots":1,"connectionLimit":1,"name":)";
    auto text = [&](std::string_view first, std::string_view second) {
        return R"({"version":1,"services":[],"upstreams":[)" + std::string(upstream) + std::string(first) + "},"
            + std::string(upstream) + std::string(second) + "}]}";
    };
    auto before = catalog::parseCatalog(text("\"x\"", "\"y\""), names, reason);
    auto after = catalog::parseCatalog(text("\"y\"", "\"z\""), names, reason);
    CHECK(before.has_value() && after.has_value());
    CHECK(catalog::findUpstream(*after, names.intern("y"))->name == "y");
    POINTERS_EQUAL(nullptr, catalog::findUpstream(*after, names.intern("x")));
}

// Guards against a catalogue that was truncated in transfer being accepted.
TEST(Catalog, TruncatedTextIsRejectedWithAReason)
{
    CHECK_FALSE(catalog::parseCatalog(R"({"version":1,"upstreams":[)", names, reason).has_value());
    CHECK_FALSE(reason.text.empty());
}
