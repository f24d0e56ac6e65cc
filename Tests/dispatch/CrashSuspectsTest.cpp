#include "papayabend/dispatch/CrashSuspects.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(CrashSuspects)
{
    CrashSuspects suspects;
    base::TimePoint now { 100s };
};

// Guards against a request that takes down one upstream after the other.
TEST(CrashSuspects, ThirdCrashRefusesTheRequest)
{
    suspects.addCrash(7, now);
    suspects.addCrash(7, now);
    CHECK_FALSE(suspects.isRefused(7, now));
    suspects.addCrash(7, now);
    CHECK_TRUE(suspects.isRefused(7, now + 100s));
    CHECK_FALSE(suspects.isRefused(8, now));
    CHECK_FALSE(suspects.isRefused(7, now + 121s));
}

// Guards against crashes that are counted anew on each host.
TEST(CrashSuspects, OtherHostsCountsAreTaken)
{
    CrashSuspects other;
    other.addCrash(7, now);
    CHECK_TRUE(other.notices(now).empty());
    other.addCrash(7, now);
    auto notices = other.notices(now);
    suspects.merge(notices, now);
    suspects.addCrash(7, now);
    CHECK_TRUE(suspects.isRefused(7, now));
}

// Guards against a harmless request that is refused because its connections were reset three times over a long time.
TEST(CrashSuspects, AnswerClearsTheRequest)
{
    suspects.addCrash(7, now);
    suspects.addCrash(7, now);
    suspects.clear(7);
    suspects.addCrash(7, now);
    LONGS_EQUAL(1, suspects.crashes(7, now));
}

// Guards against requests that differ only in their body being taken for the same.
TEST(CrashSuspects, FingerprintCoversTheWholeRequest)
{
    auto print = CrashSuspects::fingerprintOf("POST", "h", "/a/", "x");
    CHECK_TRUE(print != CrashSuspects::fingerprintOf("POST", "h", "/a/", "y"));
    CHECK_TRUE(print != CrashSuspects::fingerprintOf("POST", "h", "/a", "/x"));
    CHECK_TRUE(print == CrashSuspects::fingerprintOf("POST", "h", "/a/", "x"));
}
