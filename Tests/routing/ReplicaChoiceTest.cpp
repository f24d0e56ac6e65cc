#include "RoutingFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::routing;
using namespace std::chrono_literals;

namespace {

struct ReplicaChoiceFixture : RoutingFixture {
    void use(Policy policy, std::string_view domain = "")
    {
        RoutingSettings settings;
        settings.policy = policy;
        settings.ownFailureDomain = domain;
        table.configure(settings);
    }

    void warmUp()
    {
        for (uint32_t n = 0; n < 4; ++n)
            serve(n);
        now += 10s;
    }
};

}

TEST_GROUP_BASE(ReplicaChoice, ReplicaChoiceFixture) {};

// Guards against work for an upstream that answers slowly while others are fast.
TEST(ReplicaChoice, SlowUpstreamGetsLessWorkAndIsTriedAgain)
{
    use(Policy::TwoChoices);
    warmUp();
    for (int n = 0; n < 20; ++n) {
        for (uint32_t upstream = 0; upstream < 4; ++upstream)
            serve(upstream, upstream == 0 ? 50ms : 5ms);
    }
    CHECK(spread({})[0] < 50);
    now += 30s;
    CHECK(spread({})[0] > 150);
}

// Guards against a full upstream being chosen while another has a free slot, and against exceeding all limits.
TEST(ReplicaChoice, FullUpstreamsAreNotChosen)
{
    use(Policy::LeastInFlight);
    warmUp();
    for (uint32_t n = 1; n < 4; ++n) {
        for (uint32_t i = inFlightLimit(table, catalog.upstreams[n]); i > 0; --i)
            send(n);
    }
    LONGS_EQUAL(10, spread({}, 10)[0]);
    for (uint32_t i = inFlightLimit(table, catalog.upstreams[0]); i > 0; --i)
        send(0);
    CHECK_FALSE(chooseReplica(table, catalog, ReplicaQuery { .replicas = all, .excluded = {} }, random, now));
    CHECK(chooseReplica(table, catalog, all, {}, random, now).has_value());
}

// Guards against a wrong load report keeping all work away from an idle upstream.
TEST(ReplicaChoice, ReportedLoadIsOnlyAHint)
{
    use(Policy::LeastInFlight);
    warmUp();
    end(send(0), AttemptStatus::Ran, LoadReport { .slotsBusy = 2, .queued = 1000 });
    for (uint32_t n = 1; n < 4; ++n)
        send(n), send(n);
    LONGS_EQUAL(10, spread({}, 10)[0]);
}

// Guards against traffic between failure domains while the own one has idle replicas.
TEST(ReplicaChoice, OwnFailureDomainIsPreferred)
{
    use(Policy::LeastInFlight, "a");
    warmUp();
    auto chosen = spread({});
    LONGS_EQUAL(1000, chosen[0] + chosen[1]);
    CHECK(chosen[0] > 400 && chosen[1] > 400);
}

// Guards against a full share of work for an upstream that has just started.
TEST(ReplicaChoice, ColdUpstreamIsRamped)
{
    use(Policy::TwoChoices);
    warmUp();
    table.state(all[0]).rampStart.store(0);
    auto cold = spread({})[0];
    table.state(all[0]).rampStart.store((now - 4900ms).time_since_epoch().count());
    auto ramped = spread({})[0];
    CHECK(cold < 50);
    CHECK(ramped > cold);
}

// Guards against hedges that go to an overloaded upstream or to the failure domain of the slow attempt.
TEST(ReplicaChoice, HedgesAvoidOverloadedUpstreamsAndTheSameDomain)
{
    use(Policy::TwoChoices);
    warmUp();
    end(send(2), AttemptStatus::Shed);
    std::vector<catalog::UpstreamId> tried { all[0] };
    ReplicaQuery query;
    query.excluded = tried;
    query.isHedge = true;
    query.avoidedDomain = "a";
    LONGS_EQUAL(100, spread(query, 100)[3]);
    end(send(3), AttemptStatus::Shed);
    LONGS_EQUAL(100, spread(query, 100)[1]);
}

// Guards against an affinity that sends one key to different replicas, or that overloads the preferred one.
TEST(ReplicaChoice, AffinityKeepsAKeyUntilItsReplicaIsBusy)
{
    use(Policy::Affinity);
    warmUp();
    ReplicaQuery query;
    query.key = "query";
    auto chosen = spread(query, 100);
    auto home = static_cast<uint32_t>(std::ranges::max_element(chosen) - chosen.begin());
    LONGS_EQUAL(100, chosen[home]);
    send(home), send(home);
    LONGS_EQUAL(0, spread(query, 100)[home]);
}

// Guards against a baseline that is better than plain, which would flatter the comparison the wrong way round.
TEST(ReplicaChoice, BaselineIgnoresLoad)
{
    table.configure(plainBaseline());
    warmUp();
    for (int n = 0; n < 50; ++n)
        send(0);
    CHECK(spread({})[0] > 200);
}
