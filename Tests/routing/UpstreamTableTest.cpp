#include "RoutingFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::routing;
using namespace std::chrono_literals;

TEST_GROUP_BASE(UpstreamTable, RoutingFixture) {};

// Guards against a result that is reported twice making the in-flight counter wrap around.
TEST(UpstreamTable, SecondReportOfAnAttemptIsIgnored)
{
    auto attempt = send(0);
    CHECK(end(attempt, AttemptStatus::Ran));
    CHECK_FALSE(end(attempt, AttemptStatus::Ran));
    LONGS_EQUAL(0, table.state(all[0]).inFlight.load());
}

// Guards against new work for an upstream that announced its drain, and against a late answer that was sent before
// the announcement returning it to service.
TEST(UpstreamTable, DrainSignalStopsWorkUntilAFreshProbe)
{
    auto early = send(0);
    auto signal = send(0);
    end(signal, AttemptStatus::Ran, LoadReport { .isDraining = true });
    CHECK_FALSE(isUsable(0));
    end(early, AttemptStatus::Ran, LoadReport {});
    CHECK_FALSE(isUsable(0));
    now += 2s;
    CHECK(probes().empty());
    now += 2s;
    auto sent = probes();
    LONGS_EQUAL(1, sent.size());
    CHECK(end(sent[0], AttemptStatus::UnknownShard, LoadReport {}));
    CHECK(isUsable(0));
}

// Guards against a health endpoint that answers while the upstream still drains.
TEST(UpstreamTable, ProbeOlderThanTheEvidenceDoesNotReturnAnUpstream)
{
    end(send(0), AttemptStatus::NotSent);
    auto late = send(0);
    now += 1s;
    auto sent = probes();
    LONGS_EQUAL(1, sent.size());
    now += 10ms;
    end(late, AttemptStatus::Draining);
    end(sent[0], AttemptStatus::UnknownShard, LoadReport {});
    CHECK_FALSE(isUsable(0));
}

// Guards against a dead upstream that is tried again at once and without a growing delay.
TEST(UpstreamTable, RefusedConnectionsAreProbedWithABackoff)
{
    end(send(0), AttemptStatus::NotSent);
    CHECK_FALSE(isUsable(0));
    auto probesIn = [&](base::Duration time) {
        size_t count = 0;
        for (auto until = now + time; now < until; now += 50ms) {
            for (const auto& probe : probes()) {
                end(probe, AttemptStatus::NotSent);
                ++count;
            }
        }
        return count;
    };
    CHECK(probesIn(2s) >= 3);
    CHECK(probesIn(20s) <= 5);
}

// Guards against an upstream that stays out of service although the platform replaced it.
TEST(UpstreamTable, CatalogueReturnsAnUpstreamThatWasLeaving)
{
    end(send(0), AttemptStatus::Draining);
    // A new version that says nothing new of the upstream does not outweigh its own signal.
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
    CHECK(conditionOf(table.state(all[0]), table.settings(), now) == Condition::Cold);
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

// Guards against a host that keeps sending the same number of calls to an upstream that sheds them.
TEST(UpstreamTable, ShedWorkLowersTheLimitInFlight)
{
    table.setServingHosts(2);
    auto before = inFlightLimit(table, catalog.upstreams[0]);
    serve(0);
    for (int n = 0; n < 10; ++n) {
        end(send(0), AttemptStatus::Shed);
        now += 10ms;
    }
    CHECK(inFlightLimit(table, catalog.upstreams[0]) < before);
    CHECK(conditionOf(table.state(all[0]), table.settings(), now) == Condition::Overloaded);
    for (int n = 0; n < 2000; ++n)
        serve(0);
    LONGS_EQUAL(before, inFlightLimit(table, catalog.upstreams[0]));
}

// Guards against every search asking an upstream for a snapshot that it does not hold.
TEST(UpstreamTable, MissingSnapshotIsRememberedForAWhile)
{
    end(send(0, 7), AttemptStatus::SnapshotUnavailable);
    CHECK_FALSE(isUsable(0, 7));
    CHECK(isUsable(0, 6));
    now += 2s;
    CHECK(isUsable(0, 7));
}
