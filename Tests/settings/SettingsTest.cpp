#include "papayabend/settings/Settings.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(Settings)
{
    base::LastReason reason;

    std::optional<settings::Settings> parse(const std::string& more)
    {
        return settings::parseSettings(R"({ // comment
            "host": { "name": "h", "failureDomain": "ruwi", "region": "m", "callerAddress": "127.0.0.1:1",
                "peerAddress": "127.0.0.1:2", "operatorAddress": "[::1]:3" },
            "platform": { "address": "127.0.0.1:4" })"
                + more + "}",
            "f.json", reason);
    }

    void checkRefused(const std::string& more, const std::string& expected)
    {
        CHECK_FALSE(parse(more).has_value());
        STRCMP_EQUAL(expected.c_str(), reason.text.c_str());
    }
};

// Guards against a setting whose key differs between reading and printing, so that its value is lost.
TEST(Settings, PrintedSettingsAreReadBackUnchanged)
{
    auto first = parse(R"(, "entry": { "threads": 7, "idleTimeoutMs": 1234 }, "stop": { "drainMs": 9 })");
    CHECK(first.has_value());
    LONGS_EQUAL(7, first->entry.threads);
    auto printed = settings::toJson(*first);
    auto second = settings::parseSettings(printed, "f.json", reason);
    CHECK(second.has_value());
    STRCMP_EQUAL(printed.c_str(), settings::toJson(*second).c_str());
}

// Guards against error messages that do not name the file, the key, the value and the allowed range.
TEST(Settings, ErrorsNameFileKeyValueAndRange)
{
    checkRefused(R"(, "entry": { "threads": 0 })", "f.json: entry.threads = 0: must be a whole number from 1 to 1024");
    checkRefused(R"(, "stop": { "drainMs": -1 })",
        "f.json: stop.drainMs = -1: must be a whole number of milliseconds from 0 to 3600000");
    checkRefused(R"(, "hedging": { "budget": 2 })", "f.json: hedging.budget = 2: must be a number from 0 to 1");
    checkRefused(R"(, "routing": { "policy": "best" })",
        R"(f.json: routing.policy = "best": must be one of "random", "leastInFlight", "twoChoices", "affinity")");
    checkRefused(R"(, "entry": 5)", "f.json: entry: must be an object");
}

// Guards against a misspelt key being ignored, so that the default applies silently.
TEST(Settings, UnknownKeyIsRefusedWithTheNearestKnownKey)
{
    checkRefused(R"(, "entry": { "thread": 3 })",
        "f.json: entry.thread = 3: unknown key; the nearest known key is entry.threads");
    checkRefused(R"(, "zzzzzzzzzzz": 3)", "f.json: zzzzzzzzzzz = 3: unknown key");
}

// Guards against a host that starts without an address or with one that cannot be bound.
TEST(Settings, AddressesAreRequiredAndChecked)
{
    CHECK_FALSE(settings::parseSettings("{}", "f.json", reason).has_value());
    STRCMP_EQUAL("f.json: host: is required", reason.text.c_str());
    checkRefused(R"(, "platform": { "address": "localhost:80" })",
        "f.json: platform.address = \"localhost:80\": must be an IP address and port such as \"127.0.0.1:8080\"");
    CHECK_FALSE(settings::parseSettings("{ \"host\": ", "f.json", reason).has_value());
    STRNCMP_EQUAL("f.json: ", reason.text.c_str(), 8);
}
