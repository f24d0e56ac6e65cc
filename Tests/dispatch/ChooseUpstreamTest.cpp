#include "papayabend/dispatch/ChooseUpstream.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(ChooseUpstream)
{
    base::TimePoint now { 100s };
    std::array<discovery::UpstreamEntry, 2> entries;
    std::array<UpstreamLoad, 2> loads;
    std::array<Candidate, 2> candidates;

    void setup() override
    {
        for (size_t n = 0; n < 2; ++n) {
            loads[n].idleConnections = 1;
            loads[n].openConnections = 1;
            loads[n].maxConnections = 2;
            candidates[n] = { &entries[n], &loads[n], false, false };
        }
    }

    int choose() const
    {
        auto choice = chooseUpstream(candidates, { 20ms, 40ms, now });
        return choice ? static_cast<int>(*choice) : -1;
    }
};

// Guards against requests to an address that now belongs to another service, where each counts as a retry (case
// trouble-3 of mmtbw-search: 359 retries within ten seconds, 212 allowed).
TEST(ChooseUpstream, MisdirectedUpstreamIsNotUsedDuringItsPause)
{
    candidates[1].isTried = true;
    LONGS_EQUAL(0, choose());
    addMisdirection(loads[0], now);
    LONGS_EQUAL(-1, choose());
    now += 9s;
    LONGS_EQUAL(-1, choose());
    now += 2s;
    LONGS_EQUAL(0, choose());
}

// Guards against sending requests to a stalled upstream while its replica is free.
TEST(ChooseUpstream, StalledUpstreamIsAvoided)
{
    loads[0].sentAt = { now - 41ms };
    loads[1].latencyRatio = 3;
    loads[1].latencyRatioAt = now;
    LONGS_EQUAL(1, choose());
    loads[0].sentAt = { now - 5ms };
    LONGS_EQUAL(0, choose());
}

// Guards against a failing upstream that receives each request first, and against refusing requests when both replicas
// fail.
TEST(ChooseUpstream, FailingUpstreamIsTheLastResort)
{
    addFailure(loads[0], now);
    LONGS_EQUAL(1, choose());
    candidates[1].isTried = true;
    LONGS_EQUAL(0, choose());
}

// Guards against new requests to upstreams that are draining or gone.
TEST(ChooseUpstream, DrainingAndGoneUpstreamsReceiveNoRequests)
{
    entries[0].record.isDraining = true;
    LONGS_EQUAL(1, choose());
    entries[1].presence = discovery::Presence::Gone;
    LONGS_EQUAL(-1, choose());
}

// Guards against requests to an upstream that stopped without draining, more than three seconds after its entry was
// removed (day "kills" of mmtbw-search, seed 106372895751: the removal arrived after 0.9 s, and the upstream remained a
// second choice for 2.5 s).
TEST(ChooseUpstream, MissingUpstreamIsNotUsedWhileAnotherIsListed)
{
    const std::array<const discovery::UpstreamEntry*, 2> both { &entries[0], &entries[1] };
    entries[0].presence = discovery::Presence::Missing;
    addFailure(loads[1], now);
    LONGS_EQUAL(1, choose());
    candidates[1].isTried = true;
    LONGS_EQUAL(-1, choose());
    LONGS_EQUAL(1, countUsable(both));
}

// Guards against a service that counts as gone when the entries of all its upstreams expired during an outage of the
// store.
TEST(ChooseUpstream, MissingUpstreamsAreTheLastResort)
{
    const std::array<const discovery::UpstreamEntry*, 2> both { &entries[0], &entries[1] };
    entries[0].presence = discovery::Presence::Missing;
    entries[1].presence = discovery::Presence::Missing;
    LONGS_EQUAL(0, choose());
    LONGS_EQUAL(2, countUsable(both));
    entries[1].presence = discovery::Presence::Listed;
    entries[1].record.isDraining = true;
    LONGS_EQUAL(0, choose());
    entries[0].presence = discovery::Presence::Gone;
    LONGS_EQUAL(-1, choose());
    LONGS_EQUAL(1, countUsable(both));
}

// Guards against an upstream that is never tried again after it was slow and has recovered.
TEST(ChooseUpstream, LatencyRatioDecaysWithoutNewSamples)
{
    candidates[1].isRemote = true;
    addLatency(loads[0], 600ms, 20ms, now);
    LONGS_EQUAL(1, choose());
    now += 30s;
    LONGS_EQUAL(0, choose());
}

// Guards against connections beyond what an upstream accepts: it resets them together with the requests on them (case
// scale-2 of mmtbw-search: 4,356 resets after all hosts had lost power while the upstreams still held their
// connections).
TEST(ChooseUpstream, ConnectionBoundIsInferredAndGrowsSlowly)
{
    UpstreamLoad load;
    load.maxConnections = 4;
    LONGS_EQUAL(4, connectionLimit(load, now));
    addRefusedConnection(load, 1, now);
    LONGS_EQUAL(1, connectionLimit(load, now));
    LONGS_EQUAL(3, connectionLimit(load, now + 2s));
    LONGS_EQUAL(4, connectionLimit(load, now + 60s));
    addRefusedConnection(load, 0, now);
    LONGS_EQUAL(1, connectionLimit(load, now));
}

// Guards against hosts that reconnect at once to an upstream whose connections are all held by lost hosts, and so keep
// each other from connecting (incident 70b9 of sulina-busca-grown: 100,729 connections reset in about eight seconds).
TEST(ChooseUpstream, ConnectingPausesAfterRefusedConnections)
{
    UpstreamLoad load;
    addRefusedConnection(load, 1, now);
    CHECK_TRUE(acceptsConnections(load, now));
    addRefusedConnection(load, 0, now);
    CHECK_FALSE(acceptsConnections(load, now + 99ms));
    CHECK_TRUE(acceptsConnections(load, now + 100ms));
    for (int n = 0; n < 9; ++n)
        addRefusedConnection(load, 0, now);
    CHECK_FALSE(acceptsConnections(load, now + 799ms));
    CHECK_TRUE(acceptsConnections(load, now + 800ms));
    addLatency(load, 1ms, 1ms, now);
    CHECK_TRUE(acceptsConnections(load, now));
}
