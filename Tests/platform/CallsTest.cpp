#include "platform/Calls.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(Calls) { gateway::PlatformAdapter adapter = platform::adapter(); };

// Guards against request targets that the store does not support.
TEST(Calls, StoreRequestTargets)
{
    STRCMP_EQUAL("/kv-range?prefix=", adapter.listTarget("", "").c_str());
    STRCMP_EQUAL("/kv-range?prefix=&after=servers/i-1", adapter.listTarget("", "servers/i-1").c_str());
    STRCMP_EQUAL("/kv-watch?prefix=&after=7&wait-ms=3000", adapter.watchTarget("", 7, 3s).c_str());
}

// Guards against a list that never ends or fails because a page ends with an odd key.
TEST(Calls, OddKeysAreEncodedInRequestTargets)
{
    STRCMP_EQUAL("/kv-range?prefix=&after=servers/a%20b%26c%0D%0A%25%C3%A4",
        adapter.listTarget("", "servers/a b&c\r\n%\xc3\xa4").c_str());
}

// Guards against requests for addresses that are not recognised, against other targets that are taken for one, and
// against answers in another format.
TEST(Calls, EntryRequestsAndAnswers)
{
    auto entryRequest = adapter.parseEntryRequest("/resolve?name=p.example&region=r&zone=d1");
    CHECK_TRUE(entryRequest.has_value());
    STRCMP_EQUAL("d1", entryRequest->failureDomain.c_str());
    CHECK_TRUE(adapter.parseEntryRequest("/resolve").has_value());
    CHECK_FALSE(adapter.parseEntryRequest("/resolver?zone=d1").has_value());
    std::array<std::string, 2> addresses { "10.0.0.1:1", "10.0.0.2:1" };
    STRCMP_EQUAL(
        R"({"addrs":["10.0.0.1:1","10.0.0.2:1"],"ttl_s":1.5})", adapter.entryAnswer(addresses, 1500ms).c_str());
}

// Guards against an exception because another host has stated an address that is no text.
TEST(Calls, EntryAnswerNamesAddressesThatAreNoText)
{
    std::vector<std::string> addresses { "\xff\xfe", "10.0.0.2:1" };
    CHECK_TRUE(adapter.entryAnswer(addresses, 1500ms).find("10.0.0.2:1") != std::string::npos);
}
