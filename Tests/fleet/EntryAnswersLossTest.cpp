#include "fleet/EntryAnswersModel.h"

#include <CppUTest/TestHarness.h>

using namespace entryModel;

TEST_GROUP(EntryAnswersLoss) {};

// Guards against callers that wait for a host without power for much longer than with short answers.
TEST(EntryAnswersLoss, LostHosts)
{
    for (auto hosts : sizes) {
        auto before = play({ hosts, Events::Losses, false }, "losses");
        auto now = play({ hosts, Events::Losses, true }, "losses");
        CHECK_TRUE(now.share(now.metLost) < before.share(before.metLost) + 0.02);
        LONGS_EQUAL(0, now.metStopped);
    }
}
