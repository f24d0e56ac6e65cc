#include "papayabend/base/Verdict.h"

#include <CppUTest/TestHarness.h>

using papayabend::base::Verdict;

TEST_GROUP(Verdict) {};

// Guards against a request that may have run being sent a second time.
TEST(Verdict, OnlyNotRunMayBeRetried)
{
    CHECK(papayabend::base::mayRetry(Verdict::NotRun));
    CHECK_FALSE(papayabend::base::mayRetry(Verdict::MayHaveRun));
    CHECK_FALSE(papayabend::base::mayRetry(Verdict::Ran));
}

// Guards against a late "not run" hiding an earlier attempt that may have run.
TEST(Verdict, CombineKeepsTheStrongerVerdict)
{
    CHECK(papayabend::base::combine(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun);
    CHECK(papayabend::base::combine(Verdict::MayHaveRun, Verdict::Ran) == Verdict::Ran);
}
