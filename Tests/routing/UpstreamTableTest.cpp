#include "RoutingFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::routing;
using namespace std::chrono_literals;

TEST_GROUP_BASE(UpstreamTable, RoutingFixture) {};

// Guards against an in-flight counter that wraps around when a result is reported twice.
TEST(UpstreamTable, SecondResultOfAnAttemptIsIgnored)
{
    auto attempt = send(0);
    CHECK(finish(attempt, AttemptStatus::Ran));
    CHECK_FALSE(finish(attempt, AttemptStatus::Ran));
    LONGS_EQUAL(0, table.state(upstreamIds[0]).inFlight.load());
}

// Guards against new attempts to an upstream that has signalled its drain, and against a late answer from before the
// signal that returns it to service.
TEST(UpstreamTable, DrainSignalStopsAttemptsUntilALaterProbe)
{
    auto early = send(0);
    auto signal = send(0);
    finish(signal, AttemptStatus::Ran, LoadReport { .isDraining = true });
    CHECK_FALSE(isUsable(0));
    finish(early, AttemptStatus::Ran, LoadReport {});
    CHECK_FALSE(isUsable(0));
    now += 2s;
    CHECK(probes().empty());
    now += 2s;
    auto sent = probes();
    LONGS_EQUAL(1, sent.size());
    CHECK(finish(sent[0], AttemptStatus::UnknownShard, LoadReport {}));
    CHECK(isUsable(0));
}

// Guards against returning an upstream to service because its health check still succeeds while it drains.
TEST(UpstreamTable, ProbeSentBeforeTheDrainSignalDoesNotReturnAnUpstream)
{
    finish(send(0), AttemptStatus::NotSent);
    auto late = send(0);
    now += 1s;
    auto sent = probes();
    LONGS_EQUAL(1, sent.size());
    now += 10ms;
    finish(late, AttemptStatus::Draining);
    finish(sent[0], AttemptStatus::UnknownShard, LoadReport {});
    CHECK_FALSE(isUsable(0));
}

// Guards against probing an unreachable upstream immediately and without an increasing delay.
TEST(UpstreamTable, RefusedConnectionsAreProbedWithABackoff)
{
    finish(send(0), AttemptStatus::NotSent);
    CHECK_FALSE(isUsable(0));
    auto countProbesIn = [&](base::Duration time) {
        size_t count = 0;
        for (auto until = now + time; now < until; now += 50ms) {
            for (const auto& probe : probes()) {
                finish(probe, AttemptStatus::NotSent);
                ++count;
            }
        }
        return count;
    };
    CHECK(countProbesIn(2s) >= 3);
    CHECK(countProbesIn(20s) <= 5);
}

// Guards against an upstream that stays out of service although the platform has replaced it.
TEST(UpstreamTable, CatalogueReturnsAnUpstreamThatWasLeaving)
{
    finish(send(0), AttemptStatus::Draining);
    // A new version with an unchanged entry of the upstream does not cancel the drain signal.
    catalog.version = 2;
    table.catalogSeen(catalog, now);
    CHECK_FALSE(isUsable(0));
    catalog.version = 3;
    catalog.upstreams[0].isLeaving = true;
    table.catalogSeen(catalog, now);
    CHECK_FALSE(isUsable(0));
    catalog.version = 4;
    catalog.upstreams[0].isLeaving = false;
    table.catalogSeen(catalog, now);
    CHECK(isUsable(0));
    CHECK(conditionOf(table.state(upstreamIds[0]), table.settings(), now) == Condition::Cold);
}

// Guards against 8 hosts that together open more connections than an upstream accepts.
TEST(UpstreamTable, FleetStaysWithinTheConnectionLimit)
{
    table.setServingHosts(8);
    CHECK(8 * connectionsPerHost(table, catalog.upstreams[0]) <= 25 * 9 / 10);
    CHECK(inFlightLimit(table, catalog.upstreams[0]) <= connectionsPerHost(table, catalog.upstreams[0]));
    table.setServingHosts(1600);
    LONGS_EQUAL(1, connectionsPerHost(table, catalog.upstreams[0]));
}

// Guards against a host that keeps as many calls in flight to an upstream that sheds them.
TEST(UpstreamTable, ShedAttemptsLowerTheInFlightLimit)
{
    table.setServingHosts(2);
    auto before = inFlightLimit(table, catalog.upstreams[0]);
    completeAttempt(0);
    for (int n = 0; n < 10; ++n) {
        finish(send(0), AttemptStatus::Shed);
        now += 10ms;
    }
    CHECK(inFlightLimit(table, catalog.upstreams[0]) < before);
    CHECK(conditionOf(table.state(upstreamIds[0]), table.settings(), now) == Condition::Overloaded);
    for (int n = 0; n < 2000; ++n)
        completeAttempt(0);
    LONGS_EQUAL(before, inFlightLimit(table, catalog.upstreams[0]));
}

// Guards against every search requesting a snapshot from an upstream that does not have it.
TEST(UpstreamTable, MissingSnapshotIsNotRequestedForAWhile)
{
    finish(send(0, 7), AttemptStatus::SnapshotUnavailable);
    CHECK_FALSE(isUsable(0, 7));
    CHECK(isUsable(0, 6));
    now += 2s;
    CHECK(isUsable(0, 7));
}
