#include "fleet/EntryAnswersModel.h"

#include <CppUTest/TestHarness.h>

using namespace entryModel;

TEST_GROUP(EntryAnswersStop) {};

// Guards against long answers that name hosts which have stopped: a stop that nobody expects, and a series of them.
TEST(EntryAnswersStop, PlannedStops)
{
    for (auto hosts : sizes) {
        for (auto events : { Events::SingleStops, Events::SeriesOfStops }) {
            const auto* name = events == Events::SingleStops ? "single stops" : "series of stops";
            auto before = play({ hosts, events, false, 20, 90s }, name);
            auto now = play({ hosts, events, true, 20, 90s }, name);
            CHECK_TRUE(now.share(now.metStopped) < 0.01);
            CHECK_TRUE(now.questions <= before.questions);
            LONGS_EQUAL(0, now.metLost);
        }
    }
}
