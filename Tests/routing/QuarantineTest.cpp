#include "papayabend/routing/Quarantine.h"

#include <CppUTest/TestHarness.h>
#include <utility>

using namespace papayabend;
using namespace papayabend::routing;
using namespace std::chrono_literals;

TEST_GROUP(Quarantine)
{
    Quarantine host;
    Quarantine other;
    base::TimePoint now { 100s };
};

// Guards against a request that crashes one upstream after another, also if the caller resends it to another host.
TEST(Quarantine, SecondCrashQuarantinesOnAllHosts)
{
    CHECK(host.needsCanary(1, 5, now));
    auto first = host.crashed(1, { 10, 100 }, false, now);
    CHECK_FALSE(first.isQuarantined);
    CHECK(other.received(first, now));
    CHECK_FALSE(other.isQuarantined(1, now));
    auto second = other.crashed(1, { 11, 101 }, false, now);
    CHECK(second.isQuarantined);
    CHECK(host.received(second, now));
    CHECK(host.isQuarantined(1, now));
    CHECK_FALSE(host.isQuarantined(1, now + 11min));
}

// Guards against counting one lost upstream once for each host that was connected to it.
TEST(Quarantine, OneLostUpstreamCountsOnce)
{
    host.crashed(1, { 10, 100 }, false, now);
    host.received(other.crashed(1, { 10, 100 }, false, now), now);
    LONGS_EQUAL(1, host.crashes(1, now));
    CHECK_FALSE(host.isQuarantined(1, now));
}

// Guards against a request that crashes the same upstream each time it has been started again, on the same host or
// another.
TEST(Quarantine, UpstreamThatWasStartedAgainCountsAgain)
{
    auto first = host.crashed(1, { 10, 100 }, false, now);
    other.received(first, now);
    CHECK(host.crashed(1, { 10, 100 }, false, now + 4s).isQuarantined);
    CHECK(other.crashed(1, { 10, 100 }, false, now + 4s).isQuarantined);
}

// Guards against counting the repeats of a notice as further crashes of the same upstream.
TEST(Quarantine, RepeatedNoticeCountsOnce)
{
    auto notice = host.crashed(1, { 10, 100 }, false, now);
    for (auto delay : { 0s, 1s, 2s, 60s })
        other.received(notice, now + delay);
    LONGS_EQUAL(1, other.crashes(1, now + 60s));
}

// Guards against quarantining a request that was in flight on a crashed upstream but did not cause the crash.
TEST(Quarantine, RequestThatRunsOnAnotherReplicaIsCleared)
{
    host.crashed(1, { 10, 100 }, false, now);
    host.succeeded(1, 5, 100, now);
    LONGS_EQUAL(0, host.crashes(1, now));
    CHECK_FALSE(host.needsCanary(1, 5, now));
    CHECK(host.needsCanary(1, 6, now));
    // An answer from another shard does not clear the crash.
    host.crashed(2, { 10, 100 }, true, now);
    host.succeeded(2, 5, 101, now);
    LONGS_EQUAL(1, host.crashes(2, now));
    CHECK_FALSE(host.crashed(2, { 11, 100 }, true, now).isQuarantined);
    CHECK(host.crashed(2, { 12, 102 }, true, now).isQuarantined);
}

// Guards against two suspects that run at the same time again, because a second crash would then also quarantine the
// one that did not cause it.
TEST(Quarantine, SuspectsOfOneCrashRunAloneInTheSameOrderOnAllHosts)
{
    auto a = host.crashed(1, { 10, 100 }, false, now);
    auto b = other.crashed(2, { 10, 100 }, false, now);
    host.received(b, now);
    other.received(a, now);
    CHECK(host.soloRunStart(1, now) > now);
    CHECK(host.soloRunStart(1, now) == other.soloRunStart(1, now));
    CHECK(host.soloRunStart(2, now) - host.soloRunStart(1, now) >= 40ms);
}

// Guards against canary attempts that delay searches although the mode disables them.
TEST(Quarantine, CanaryModeDeterminesWhetherACanaryIsNeeded)
{
    CrashSettings settings;
    settings.canary = CanaryMode::AfterCrash;
    host.configure(settings);
    CHECK_FALSE(host.needsCanary(1, 5, now));
    host.crashed(2, { 10, 100 }, false, now);
    CHECK(host.needsCanary(1, 5, now));
    CHECK_FALSE(host.needsCanary(1, 5, now + 2min));
    settings.canary = CanaryMode::Off;
    host.configure(settings);
    CHECK_FALSE(host.needsCanary(2, 5, now));
}
