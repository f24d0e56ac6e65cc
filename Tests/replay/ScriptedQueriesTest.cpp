#include "replay/ScriptedQueries.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(ScriptedQueries) {};

// Guards against mixed snapshots, overstated coverage, lost requests and answers of another request when faults
// occur together and twice. papayabend-measure scripted-queries runs a million of these.
TEST(ScriptedQueries, EveryAnswerIsTrueUnderCombinedFaults)
{
    auto result = replay::runScriptedQueries(replay::muscat(), 1, 600);
    for (const auto& text : result.violationTexts)
        UT_PRINT(text.c_str());
    LONGS_EQUAL(0, result.violations);
    CHECK(result.faults > 10);
    CHECK(result.injectedResults > 5);
    CHECK(result.complete > result.queries / 2);
}
