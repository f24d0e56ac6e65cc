#include "papayabend/query/Coverage.h"

#include <CppUTest/TestHarness.h>

using papayabend::query::Coverage;

TEST_GROUP(Coverage) {};

// Guards against reporting a partial answer as complete.
TEST(Coverage, ShareIsOneOnlyForACompleteAnswer)
{
    Coverage complete { 100, 100, {} };
    Coverage partial { 100, 60, { { "s1", 40, "timed_out" } } };
    Coverage shortSearch { 100, 99, {} };
    CHECK(papayabend::query::isComplete(complete));
    DOUBLES_EQUAL(1.0, papayabend::query::coveredShare(complete), 0);
    CHECK_FALSE(papayabend::query::isComplete(partial));
    DOUBLES_EQUAL(0.6, papayabend::query::coveredShare(partial), 1e-9);
    CHECK_FALSE(papayabend::query::isComplete(shortSearch));
}
