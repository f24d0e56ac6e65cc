#include "papayabend/base/Verdict.h"

#include <CppUTest/TestHarness.h>

using papayabend::base::Verdict;

TEST_GROUP(Verdict) {};

// Guards against a retry of a request that ran or may have run.
TEST(Verdict, OnlyNotRunMayBeRetried)
{
    CHECK(papayabend::base::mayRetry(Verdict::NotRun));
    CHECK_FALSE(papayabend::base::mayRetry(Verdict::MayHaveRun));
    CHECK_FALSE(papayabend::base::mayRetry(Verdict::Ran));
}

// Guards against the verdict NotRun of a later attempt hiding that an earlier attempt may have run.
TEST(Verdict, CombineReturnsTheVerdictClosestToRan)
{
    CHECK(papayabend::base::combine(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun);
    CHECK(papayabend::base::combine(Verdict::MayHaveRun, Verdict::Ran) == Verdict::Ran);
}
