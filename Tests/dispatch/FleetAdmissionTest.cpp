#include "papayabend/dispatch/FleetAdmission.h"

#include <CppUTest/TestHarness.h>
#include <limits>
#include <set>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(FleetAdmission)
{
    FleetAdmission admission;
    base::Random random { 1 };
    base::TimePoint now { 100s };

    std::optional<base::Duration> acquire(uint32_t priority = 0)
    {
        return admission.tryAcquire("s", { "a", 1, priority }, random, now);
    }

    void observe(double half, double whole, int count = 50)
    {
        for (int n = 0; n < count; ++n, now += 20ms)
            admission.observe("s", 0, { half, whole }, now);
    }
};

// Guards against a bound that stays low after the overload has ended, also at a host with few requests.
TEST(FleetAdmission, BoundRecovers)
{
    CHECK_FALSE(acquire().has_value());
    observe(1.5, 2);
    CHECK_TRUE(admission.isOverloaded("s"));
    CHECK_TRUE(admission.limit("s") < 3);
    LONGS_EQUAL(1, admission.overloadedSets(now));
    auto low = admission;
    observe(0.1, 0.3, 100);
    CHECK_TRUE(admission.limit("s") > 10);
    for (int n = 0; n < 100; ++n)
        low.merge({}, now += 250ms);
    CHECK_TRUE(low.limit("s") > 10);
    LONGS_EQUAL(0, low.overloadedSets(now));
}

// Guards against a bound that falls to nothing because some upstreams are slow or the objective is tight, so that
// requests are refused which would have been in time.
TEST(FleetAdmission, LateWholeWithoutLoadDoesNotLowerTheBound)
{
    CHECK_FALSE(acquire().has_value());
    observe(0.1, 1, 200);
    DOUBLES_EQUAL(FleetAdmission::maxLimit, admission.limit("s"), 0);
    observe(0.1, 0.3);
    observe(0.4, 1, 200);
    CHECK_TRUE(admission.limit("s") < 10);
    FleetAdmission tight;
    CHECK_FALSE(tight.tryAcquire("s", {}, random, now).has_value());
    for (int n = 0; n < 200; ++n, now += 20ms)
        tight.observe("s", 0, { 0.45, 0.95 }, now);
    DOUBLES_EQUAL(FleetAdmission::maxLimit, tight.limit("s"), 0);
}

// Guards against urgent requests that are late because the others, which have more time, keep the queues long.
TEST(FleetAdmission, MostUrgentRequestsDecide)
{
    CHECK_FALSE(acquire().has_value());
    for (int n = 0; n < 200; ++n, now += 10ms) {
        admission.observe("s", 1, { 0.1, 0.2 }, now);
        if (n % 4 == 0)
            admission.observe("s", 0, { 0.7, 1 }, now);
    }
    CHECK_TRUE(admission.limit("s") < 5);
}

// Guards against refused callers that return together.
TEST(FleetAdmission, RefusedCallersAreSpread)
{
    CHECK_FALSE(acquire().has_value());
    observe(1.5, 2);
    std::set<base::Duration> waits;
    size_t refused = 0;
    for (int n = 0; n < 20; ++n) {
        if (auto wait = acquire()) {
            ++refused;
            waits.insert(*wait);
            CHECK_TRUE(*wait >= 100ms && *wait <= 3s);
        }
    }
    CHECK_TRUE(refused >= 15);
    CHECK_TRUE(waits.size() >= 3);
}

// Guards against a large fleet in which each host runs at least one fan-out at a time, which is more than the shards
// can bear.
TEST(FleetAdmission, PartOfLessThanOneFanOutIsKept)
{
    admission.setShare(0.01);
    CHECK_FALSE(acquire().has_value());
    admission.release("s", { "a" }, 50ms, now);
    observe(1.5, 2);
    CHECK_TRUE(admission.limit("s") < 0.5);
    size_t begun = 0;
    for (int n = 0; n < 1000; ++n, now += 1ms) {
        if (!acquire()) {
            ++begun;
            admission.release("s", { "a" }, 50ms, now);
        }
    }
    CHECK_TRUE(begun >= 1 && begun < 15);
}

// Guards against hosts that go on for long after others have seen an overload, and against a bound that stays low
// because one host states a low one.
TEST(FleetAdmission, BoundOfOtherHostsIsTakenOver)
{
    admission.setShare(0.5);
    CHECK_FALSE(acquire().has_value());
    observe(0.3, 0.6, 5);
    FleetAdmission other = admission;
    for (int n = 0; n < 50; ++n, now += 20ms)
        other.observe("s", 0, { 1.5, 2 }, now);
    auto stated = decodeNotices(encodeNotices(other.notices(4, now)));
    LONGS_EQUAL(1, stated.size());
    for (int n = 0; n < 8; ++n)
        admission.merge(stated, now);
    CHECK_TRUE(admission.limit("s") < 20);
}

// Guards against notices of other programs, or ones that are cut off, which would refuse all requests.
TEST(FleetAdmission, AbsurdNoticesAreSkipped)
{
    auto infinity = std::numeric_limits<double>::infinity();
    auto notANumber = std::numeric_limits<double>::quiet_NaN();
    std::vector<AdmissionNotice> notices { { 1, 0, 5 }, { 2, -3, 5 }, { 3, infinity, 5 }, { 4, notANumber, 5 },
        { 5, 40, 1e9 } };
    auto bytes = encodeNotices(notices);
    auto read = decodeNotices(bytes);
    LONGS_EQUAL(1, read.size());
    LONGS_EQUAL(5, read.front().shards);
    DOUBLES_EQUAL(40, read.front().bound, 0);
    CHECK_TRUE(read.front().samplesPerSecond < 10'000);
    CHECK_TRUE(decodeNotices(std::string_view(bytes).substr(41)).empty());
}
