#include "fleet/EntryAnswersModel.h"

#include <CppUTest/TestHarness.h>

using namespace entryModel;

TEST_GROUP(EntryAnswersLoad) {};

// Guards against callers that ask before almost each request, and against short jobs on weak hosts, while nothing
// happens to the hosts.
TEST(EntryAnswersLoad, CalmFleet)
{
    for (auto hosts : sizes) {
        auto before = play({ hosts, Events::None, false }, "calm");
        auto now = play({ hosts, Events::None, true }, "calm");
        CHECK_TRUE(2 * now.questions < before.questions);
        LONGS_EQUAL(0, now.weak);
        CHECK_TRUE(hosts <= 6 || 4 * before.weak > before.requests);
        CHECK_TRUE(now.peakLoad < 1);
        LONGS_EQUAL(0, now.metStopped + now.metLost);
    }
}

// Guards against strong hosts that are overloaded because weak ones are not named, at five times the load.
TEST(EntryAnswersLoad, LoadBeyondTheStrongHosts)
{
    for (auto hosts : { 62U, 195U }) {
        auto before = play({ hosts, Events::None, false, 100, 60s }, "load of five times");
        auto now = play({ hosts, Events::None, true, 100, 60s }, "load of five times");
        CHECK_TRUE(now.peakLoad < 1.5);
        CHECK_TRUE(now.peakLoad <= before.peakLoad);
    }
}
