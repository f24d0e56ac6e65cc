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

// Guards against a request that crashes one upstream after the other.
TEST(CrashSuspects, RequestIsRefusedAfterThreeCrashes)
{
    suspects.addCrash(7, now);
    suspects.addCrash(7, now);
    CHECK_FALSE(suspects.isRefused(7, now));
    suspects.addCrash(7, now);
    CHECK_TRUE(suspects.isRefused(7, now + 100s));
    CHECK_FALSE(suspects.isRefused(8, now));
    CHECK_FALSE(suspects.isRefused(7, now + 121s));
}

// Guards against a request that may crash three upstreams on each host because hosts count separately.
TEST(CrashSuspects, CountsOfOtherHostsAreMerged)
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

// Guards against refusing a harmless request whose connections were reset three times over a long period.
TEST(CrashSuspects, AnswerRemovesTheCount)
{
    suspects.addCrash(7, now);
    suspects.addCrash(7, now);
    suspects.clear(7);
    suspects.addCrash(7, now);
    LONGS_EQUAL(1, suspects.crashes(7, now));
}

// Guards against equal fingerprints of requests that differ only in the body, or in where the target ends.
TEST(CrashSuspects, FingerprintCoversTheWholeRequest)
{
    auto fingerprint = CrashSuspects::fingerprintOf("POST", "h", "/a/", "x");
    CHECK_TRUE(fingerprint != CrashSuspects::fingerprintOf("POST", "h", "/a/", "y"));
    CHECK_TRUE(fingerprint != CrashSuspects::fingerprintOf("POST", "h", "/a", "/x"));
    CHECK_TRUE(fingerprint == CrashSuspects::fingerprintOf("POST", "h", "/a/", "x"));
}
