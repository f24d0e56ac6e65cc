#include "RoutingFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::routing;
using namespace std::chrono_literals;

namespace {

struct ReplicaChoiceFixture : RoutingFixture {
    void configure(Policy policy, std::string_view domain = "")
    {
        RoutingSettings settings;
        settings.policy = policy;
        settings.ownFailureDomain = domain;
        table.configure(settings);
    }

    void warmUp()
    {
        for (uint32_t n = 0; n < 4; ++n)
            completeAttempt(n);
        now += 10s;
    }
};

}

TEST_GROUP_BASE(ReplicaChoice, ReplicaChoiceFixture) {};

// Guards against sending an equal share of work to an upstream that is slower than the others, and against never trying
// it again.
TEST(ReplicaChoice, SlowUpstreamGetsLessWorkAndIsTriedAgain)
{
    configure(Policy::TwoChoices);
    warmUp();
    for (int n = 0; n < 20; ++n) {
        for (uint32_t upstream = 0; upstream < 4; ++upstream)
            completeAttempt(upstream, upstream == 0 ? 50ms : 5ms);
    }
    CHECK(countChoices({})[0] < 50);
    now += 30s;
    CHECK(countChoices({})[0] > 150);
}

// Guards against a full upstream being chosen while another has a free slot, and against exceeding the
// limits when all are full.
TEST(ReplicaChoice, FullUpstreamsAreNotChosen)
{
    configure(Policy::LeastInFlight);
    warmUp();
    for (uint32_t n = 1; n < 4; ++n) {
        for (uint32_t i = inFlightLimit(table, catalog.upstreams[n]); i > 0; --i)
            send(n);
    }
    LONGS_EQUAL(10, countChoices({}, 10)[0]);
    for (uint32_t i = inFlightLimit(table, catalog.upstreams[0]); i > 0; --i)
        send(0);
    CHECK_FALSE(chooseReplica(table, catalog, ReplicaQuery { .replicas = upstreamIds, .excluded = {} }, random, now));
    CHECK(chooseReplica(table, catalog, upstreamIds, {}, random, now).has_value());
}

// Guards against a wrong load report that keeps all work from an idle upstream.
TEST(ReplicaChoice, ReportedLoadHasALimitedEffect)
{
    configure(Policy::LeastInFlight);
    warmUp();
    finish(send(0), AttemptStatus::Ran, LoadReport { .slotsBusy = 2, .queued = 1000 });
    for (uint32_t n = 1; n < 4; ++n)
        send(n), send(n);
    LONGS_EQUAL(10, countChoices({}, 10)[0]);
}

// Guards against traffic to other failure domains while the host's own one has idle replicas.
TEST(ReplicaChoice, OwnFailureDomainIsPreferred)
{
    configure(Policy::LeastInFlight, "a");
    warmUp();
    auto chosen = countChoices({});
    LONGS_EQUAL(1000, chosen[0] + chosen[1]);
    CHECK(chosen[0] > 400 && chosen[1] > 400);
}

// Guards against sending a full share of work to an upstream that has just started.
TEST(ReplicaChoice, ColdUpstreamGetsARisingShare)
{
    configure(Policy::TwoChoices);
    warmUp();
    table.state(upstreamIds[0]).rampStart.store(0);
    auto cold = countChoices({})[0];
    table.state(upstreamIds[0]).rampStart.store((now - 4900ms).time_since_epoch().count());
    auto ramped = countChoices({})[0];
    CHECK(cold < 50);
    CHECK(ramped > cold);
}

// Guards against hedges that go to an overloaded upstream or to the failure domain of the slow attempt.
TEST(ReplicaChoice, HedgesAvoidOverloadedUpstreamsAndTheSameDomain)
{
    configure(Policy::TwoChoices);
    warmUp();
    finish(send(2), AttemptStatus::Shed);
    std::vector<catalog::UpstreamId> tried { upstreamIds[0] };
    ReplicaQuery query;
    query.excluded = tried;
    query.isHedge = true;
    query.avoidedDomain = "a";
    LONGS_EQUAL(100, countChoices(query, 100)[3]);
    finish(send(3), AttemptStatus::Shed);
    LONGS_EQUAL(100, countChoices(query, 100)[1]);
}

// Guards against sending requests with the same key to different replicas, and against overloading the preferred one.
TEST(ReplicaChoice, AffinityKeepsAKeyUntilItsReplicaIsBusy)
{
    configure(Policy::Affinity);
    warmUp();
    ReplicaQuery query;
    query.key = "query";
    auto chosen = countChoices(query, 100);
    auto preferred = static_cast<uint32_t>(std::ranges::max_element(chosen) - chosen.begin());
    LONGS_EQUAL(100, chosen[preferred]);
    send(preferred), send(preferred);
    LONGS_EQUAL(0, countChoices(query, 100)[preferred]);
}

// Guards against a baseline that considers load, which would understate the benefit of the other policies.
TEST(ReplicaChoice, BaselineIgnoresLoad)
{
    table.configure(plainBaseline());
    warmUp();
    for (int n = 0; n < 50; ++n)
        send(0);
    CHECK(countChoices({})[0] > 200);
}
