#include "papayabend/dispatch/UpstreamLimits.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamLimits)
{
    UpstreamLimits limits;
    base::TimePoint now { 100s };
    base::Random random { 1 };
    uint64_t key { UpstreamLimits::keyOf("u1", 7) };

    // Sends as many requests as are allowed within the time; returns their number.
    int sendFor(base::Duration time, double share)
    {
        int sent = 0;
        for (auto end = now + time; now < end; now += 1ms) {
            if (limits.waitFor(key, share, now).count() > 0)
                continue;
            limits.take(key, share, now);
            ++sent;
        }
        return sent;
    }
};

// Guards against a host that uses more, or much less, than its share of the limit.
TEST(UpstreamLimits, HostKeepsToItsShare)
{
    limits.observe(key, 40, now);
    sendFor(1s, 0.25);
    for (int n = 0; n < 5; ++n) {
        limits.observe(key, 40, now);
        auto sent = sendFor(4s, 0.25);
        CHECK_TRUE(sent >= 39 && sent <= 41);
    }
}

// Guards against a limit that stays in force after its end, or for another process that has the same id.
TEST(UpstreamLimits, LimitEndsWithAnAnswerWithoutOne)
{
    CHECK_TRUE(limits.observe(key, 1, now));
    CHECK_FALSE(limits.observe(key, 1, now));
    limits.take(key, 1, now);
    CHECK_TRUE(limits.waitFor(key, 1, now) == 1s);
    CHECK_TRUE(limits.waitFor(UpstreamLimits::keyOf("u1", 8), 1, now) == 0s);
    CHECK_TRUE(limits.observe(key, std::nullopt, now));
    CHECK_TRUE(limits.waitFor(key, 1, now) == 0s);
    LONGS_EQUAL(0, limits.count(now));
}

// Guards against two upstreams that share a key, so that the limit of one holds for, or ends with, the other.
TEST(UpstreamLimits, UpstreamsThatStartedAtNearlyTheSameTimeHaveDifferentKeys)
{
    std::set<uint64_t> keys;
    for (int id = 0; id < 50; ++id) {
        for (int64_t time = 0; time < 400; ++time)
            keys.insert(UpstreamLimits::keyOf("u-" + std::to_string(id), 1'796'440'800'000 + time));
    }
    LONGS_EQUAL(50 * 400, keys.size());
}

// Guards against an upstream that is never asked again because it named a limit of 0, or fell silent.
TEST(UpstreamLimits, UpstreamWithALimitOfZeroIsStillAskedNowAndThen)
{
    limits.observe(key, 0, now);
    limits.take(key, 1, now);
    CHECK_TRUE(limits.waitFor(key, 1, now) <= 5s);
    limits.observe(key, 0, now);
    CHECK_TRUE(limits.waitFor(key, 1, now + 11s) == 0s);
}

// Guards against an end of a limit that is kept and sent to other hosts for ever.
TEST(UpstreamLimits, EndedLimitsAreForgotten)
{
    limits.observe(key, 5, now);
    for (int n = 0; n < 20; ++n) {
        limits.observe(key, std::nullopt, now);
        now += 1s;
    }
    limits.merge({}, now);
    CHECK_TRUE(limits.isEmpty());
}

// Guards against an older observation of another host that replaces a newer one.
TEST(UpstreamLimits, NewestObservationOfAnyHostHolds)
{
    std::vector<LimitNotice> notices { { key, 5, 200ms } };
    limits.merge(notices, now);
    DOUBLES_EQUAL(5, *limits.limitOf(key, now), 0);
    limits.observe(key, 7, now);
    limits.merge(notices, now + 100ms);
    DOUBLES_EQUAL(7, *limits.limitOf(key, now + 100ms), 0);
    std::vector<LimitNotice> end { { key, std::nullopt, 100ms } };
    limits.merge(end, now + 1s);
    CHECK_FALSE(limits.limitOf(key, now + 1s).has_value());
    std::vector<LimitNotice> expired { { key + 1, 5, 11s }, { key + 2, std::nullopt, 0s } };
    limits.merge(expired, now + 1s);
    CHECK_FALSE(limits.limitOf(key + 1, now + 1s).has_value());
}

// Guards against messages that grow with the number of limited upstreams.
TEST(UpstreamLimits, NoticesAreLimitedAndChangeFromMessageToMessage)
{
    for (uint64_t n = 0; n < 200; ++n)
        limits.observe(n, 5, now);
    UpstreamLimits other;
    for (int n = 0; n < 200; ++n) {
        auto notices = limits.notices(random, now);
        LONGS_EQUAL(UpstreamLimits::maxNotices, notices.size());
        other.merge(notices, now);
    }
    LONGS_EQUAL(200, other.count(now));
}
