#include "papayabend/gateway/GatewaySettings.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;

TEST_GROUP(GatewaySettings)
{
    base::LastReason reason;

    std::optional<GatewaySettings> parse(const std::string& more)
    {
        return parseGatewaySettings(R"({ // comment
            "host": { "name": "h", "failureDomain": "d", "region": "r" },
            "listen": { "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "entry": "127.0.0.1:3",
                "peers": "127.0.0.1:4", "metrics": "127.0.0.1:5" },
            "store": { "address": "127.0.0.1:6" })"
                + more + "}",
            "f.json", reason);
    }

    void checkRefused(const std::string& more, const std::string& expected)
    {
        CHECK_FALSE(parse(more).has_value());
        STRCMP_EQUAL(expected.c_str(), reason.text.c_str());
    }
};

// Guards against a setting that is printed under another key than it is read from, and is therefore lost.
TEST(GatewaySettings, PrintedSettingsAreReadBackUnchanged)
{
    auto first = parse(R"(, "retryBudget": { "ratio": 0.3, "extra": 7, "windowSeconds": 5 },
        "stop": { "graceSeconds": 3.5 }, "log": { "failuresPerSecond": 9 }, "peers": { "seeds": ["10.0.0.1:9"] })");
    CHECK_TRUE(first.has_value());
    DOUBLES_EQUAL(7, first->retryBudget.extra, 0);
    LONGS_EQUAL(1, first->peers.seeds.size());
    auto printed = toJson(*first);
    auto second = parseGatewaySettings(printed, "f.json", reason);
    CHECK_TRUE(second.has_value());
    STRCMP_EQUAL(printed.c_str(), toJson(*second).c_str());
}

// Guards against a bound on clients that is read and not applied, and against one that clients take for the default.
TEST(GatewaySettings, BoundsOnClients)
{
    auto settings = parse(R"(, "clients": { "connections": 500, "connectionsPerListener": 60, "headerFields": 90,
        "bufferedBytes": 4000000, "reservedDescriptors": 700, "chunkFramingBytes": 5000 })");
    CHECK_TRUE(settings.has_value());
    LONGS_EQUAL(90, settings->clients.headerFields);
    LONGS_EQUAL(4'000'000, settings->clients.bufferedBytes);
    LONGS_EQUAL(5000, settings->clients.chunkFramingBytes);
    LONGS_EQUAL(500, boundsOf(settings->clients, 4100).total);
    LONGS_EQUAL(60, boundsOf(settings->clients, 4100).perListener);
    LONGS_EQUAL(300, boundsOf(settings->clients, 1000).total);
    LONGS_EQUAL(2734, boundsOf({}, 4100).total);
}

// Guards against errors that do not name the key that the operator must change.
TEST(GatewaySettings, ErrorsNameTheKey)
{
    checkRefused(R"(, "stopp": {})", "f.json: stopp = {}: unknown key; the nearest known key is stop");
    CHECK_FALSE(parse(R"(, "stop": { "graceSeconds": 0 })").has_value());
    CHECK_TRUE(reason.text.starts_with("f.json: stop.graceSeconds"));
    CHECK_FALSE(parseGatewaySettings("{}", "f.json", reason).has_value());
    STRCMP_EQUAL("f.json: host: is required", reason.text.c_str());
}

// Guards against a missing table file that is found only after the host has started, and against settings without a
// table that are rejected.
TEST(GatewaySettings, TableIsOptionalButItsFileMustBeReadable)
{
    CHECK_TRUE(*readTable({}, reason) == nullptr);
    CHECK_FALSE(readTable({ "/nowhere/table.csv" }, reason).has_value());
    CHECK_TRUE(reason.text.find("/nowhere/table.csv") != std::string::npos);
}

// Guards against answers that are valid for longer, or name other hosts, without a setting that asks for it.
TEST(GatewaySettings, EntryAnswersAreUnchangedByDefault)
{
    auto plain = parse(R"(, "entryAnswers": { "timeToLiveSeconds": 2 })");
    auto validity = validityOf(plain->entryAnswers, plain->stop);
    CHECK_TRUE(validity.timeToLive == std::chrono::seconds(2) && validity.calmTimeToLive == validity.timeToLive);
    CHECK_FALSE(servingOf(plain->entryAnswers).prefersStrongHosts);
    CHECK_FALSE(plain->admission.sharesOverFleet);
    auto set = parse(R"(, "entryAnswers": { "calmTimeToLiveSeconds": 5, "prefersStrongHosts": true })");
    CHECK_TRUE(validityOf(set->entryAnswers, set->stop).calmTimeToLive == std::chrono::seconds(5));
    CHECK_TRUE(servingOf(set->entryAnswers).prefersStrongHosts);
}

// Guards against a host that chooses upstreams in another way than before without being told to.
TEST(GatewaySettings, CapacityIsLearnedOnlyIfTheSettingsSaySo)
{
    CHECK_FALSE(parse("")->routing.learnsCapacity);
    auto learning = parse(R"(, "routing": { "learnsCapacity": true })");
    CHECK_TRUE(learning->routing.learnsCapacity);
    CHECK_TRUE(parseGatewaySettings(toJson(*learning), "f.json", reason)->routing.learnsCapacity);
}
