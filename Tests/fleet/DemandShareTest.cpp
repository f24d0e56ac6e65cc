#include "papayabend/fleet/DemandShare.h"

#include "fleet/FleetFixture.h"
#include "papayabend/dispatch/UpstreamLimits.h"
#include "papayabend/fleet/LoadEstimate.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <memory>
#include <ranges>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t upstreamKey = 1;
constexpr auto answerTime = 20ms;
constexpr auto window = 4s;

struct SimulatedHost {
    FleetView fleet;
    dispatch::UpstreamLimits limits;
    LoadEstimate demandEstimate;
    double demandPerSecond { 0 };
    double share { 1 };
    uint64_t wanted { 0 };
    bool isRunning { true };
};

struct Delivery {
    base::TimePoint dueAt;
    size_t from { 0 };
    size_t to { 0 };
    Heartbeat heartbeat;
    std::vector<dispatch::LimitNotice> limits;
};

struct PendingAnswer {
    base::TimePoint dueAt;
    size_t to { 0 };
};

/** Hosts in virtual time that send to one upstream, which names a limit in each answer. */
struct SimulatedFleet {
    double limitPerSecond;
    std::vector<std::unique_ptr<SimulatedHost>> hosts;
    std::deque<Delivery> deliveries;
    std::deque<PendingAnswer> answers;
    std::deque<base::TimePoint> arrivals; /**< Of the last window. */
    base::Random random { 1 };
    base::TimePoint startedAt { 100s };
    base::TimePoint now { startedAt };
    uint64_t steps { 0 };

    SimulatedFleet(size_t count, double limit)
        : limitPerSecond(limit)
    {
        for (size_t n = 0; n < count; ++n)
            hosts.push_back(newHost(n, 1));
    }

    std::unique_ptr<SimulatedHost> newHost(size_t index, uint64_t incarnation) const
    {
        return std::make_unique<SimulatedHost>(
            SimulatedHost { .fleet = FleetView(hostHeartbeat("h" + std::to_string(index), "d", incarnation, 0)),
                .demandEstimate = { .countedAt = now } });
    }

    void setDemand(double perSecond)
    {
        for (auto& host : hosts)
            host->demandPerSecond = perSecond / static_cast<double>(hosts.size());
    }

    size_t allowedInWindow() const { return static_cast<size_t>(1.5 * limitPerSecond * 4 + 5); }

    void sendHeartbeats(size_t from)
    {
        auto& host = *hosts[from];
        ++host.fleet.self().sequence;
        for (size_t to = 0; to < hosts.size(); ++to) {
            if (to != from)
                deliveries.push_back({ now + 6ms, from, to, host.fleet.self(), host.limits.notices(random, now) });
        }
    }

    void advance(size_t index)
    {
        auto& host = *hosts[index];
        if (!host.isRunning)
            return;
        if ((steps + 7 * index) % 25 == 0) {
            observe(host.demandEstimate, host.wanted, now, demandHalfLife);
            host.fleet.self().demand = static_cast<uint32_t>(host.demandEstimate.perSecond);
            host.share = demandShare(host.fleet, now);
        }
        if ((steps + 7 * index) % 50 == 0)
            sendHeartbeats(index);
        if (base::uniform(random) >= host.demandPerSecond / 100)
            return;
        ++host.wanted;
        if (host.limits.waitFor(upstreamKey, host.share, now).count() > 0)
            return;
        host.limits.take(upstreamKey, host.share, now);
        arrivals.push_back(now);
        answers.push_back({ now + answerTime, index });
    }

    void step()
    {
        ++steps;
        now += 10ms;
        for (; !deliveries.empty() && deliveries.front().dueAt <= now; deliveries.pop_front()) {
            const auto& it = deliveries.front();
            hosts[it.to]->fleet.apply(it.heartbeat, now);
            hosts[it.to]->limits.merge(it.limits, now);
        }
        for (; !answers.empty() && answers.front().dueAt <= now; answers.pop_front())
            hosts[answers.front().to]->limits.observe(upstreamKey, limitPerSecond, now);
        for (size_t n = 0; n < hosts.size(); ++n)
            advance(n);
        while (!arrivals.empty() && now - arrivals.front() > window)
            arrivals.pop_front();
    }

    /** Returns the fewest and the most arrivals in any window that ends within \a time. */
    std::pair<size_t, size_t> run(base::Duration time)
    {
        std::pair<size_t, size_t> extremes { SIZE_MAX, 0 };
        for (auto end = now + time; now < end;) {
            step();
            extremes = { std::min(extremes.first, arrivals.size()), std::max(extremes.second, arrivals.size()) };
        }
        return extremes;
    }
};

}

TEST_GROUP(DemandShare) {};

// Guards against hosts that each keep to the limit but exceed it together, and against a limit that is hardly used.
TEST(DemandShare, HostsTogetherKeepToTheLimitOfAnUpstream)
{
    for (size_t count : { 1, 8, 40 }) {
        SimulatedFleet fleet(count, 22);
        fleet.setDemand(90);
        fleet.run(8s);
        auto [fewest, most] = fleet.run(30s);
        CHECK_TRUE(most <= fleet.allowedInWindow());
        CHECK_TRUE(fewest >= 4 * 22 * 6 / 10);
    }
}

// Guards against a limit that is divided equally although one host has nearly all of the demand.
TEST(DemandShare, HostWithTheDemandGetsMostOfTheLimit)
{
    SimulatedFleet fleet(8, 22);
    fleet.setDemand(8);
    fleet.hosts[3]->demandPerSecond = 90;
    fleet.run(8s);
    auto [fewest, most] = fleet.run(20s);
    CHECK_TRUE(most <= fleet.allowedInWindow());
    CHECK_TRUE(fewest >= 4 * 22 * 6 / 10);
}

// Guards against too many requests while demand moves from host to host.
TEST(DemandShare, LimitHoldsWhileDemandMoves)
{
    SimulatedFleet fleet(8, 22);
    fleet.setDemand(90);
    fleet.run(8s);
    for (size_t n = 0; n < 16; ++n) {
        fleet.setDemand(4);
        fleet.hosts[n % 8]->demandPerSecond = 60;
        fleet.hosts[(n + 3) % 8]->demandPerSecond = 30;
        CHECK_TRUE(fleet.run(3s).second <= fleet.allowedInWindow());
    }
}

// Guards against too many requests while hosts are lost and their successors start without any knowledge.
TEST(DemandShare, LimitHoldsWhileHostsAreReplaced)
{
    SimulatedFleet fleet(8, 22);
    fleet.setDemand(90);
    fleet.run(8s);
    for (size_t n = 0; n < 8; ++n) {
        auto demand = fleet.hosts[n]->demandPerSecond;
        fleet.hosts[n]->isRunning = false;
        CHECK_TRUE(fleet.run(2s).second <= fleet.allowedInWindow());
        fleet.hosts[n] = fleet.newHost(n, 2);
        fleet.hosts[n]->demandPerSecond = demand;
        CHECK_TRUE(fleet.run(2s).second <= fleet.allowedInWindow());
    }
}

// Guards against giving the part of a silent host, which may be cut off and still send, to others at once.
TEST(DemandShare, SilentHostsKeepTheirPartForAWhile)
{
    base::TimePoint now { 100s };
    FleetView fleet(hostHeartbeat("self", "d"));
    fleet.self().demand = 50;
    auto other = hostHeartbeat("other", "d");
    other.demand = 50;
    fleet.apply(other, now);
    DOUBLES_EQUAL(0.5, demandShare(fleet, now), 0.001);
    DOUBLES_EQUAL(0.5, demandShare(fleet, now + 7s), 0.001);
    DOUBLES_EQUAL(1, demandShare(fleet, now + 9s), 0.001);
}

// Guards against hosts on both sides of a network partition that each admit as much as the whole fleet while they may
// still know that there are others.
TEST(DemandShare, AdmissionSharesOfAPartitionedFleetAddUpToOne)
{
    base::TimePoint now { 100s };
    std::vector<Heartbeat> heartbeats;
    for (size_t n = 0; n < 12; ++n) {
        heartbeats.push_back(hostHeartbeat("h" + std::to_string(n), "d"));
        heartbeats.back().demand = static_cast<uint32_t>(10 * n);
    }
    for (auto later : { 0s, 5s, 10s, 29s }) {
        double sum = 0;
        for (size_t n = 0; n < heartbeats.size(); ++n) {
            FleetView view(heartbeats[n]);
            for (const auto& heartbeat : heartbeats)
                view.apply(heartbeat, now);
            for (size_t other = 0; other < heartbeats.size(); ++other) {
                auto isSameSide = (other < 4) == (n < 4);
                ++heartbeats[other].sequence;
                if (isSameSide)
                    view.apply(heartbeats[other], now + later);
            }
            view.removeSilentHosts(now + later);
            sum += admissionShare(view, now + later);
        }
        DOUBLES_EQUAL(1, sum, 0.01);
    }
    FleetView alone(heartbeats[3]);
    DOUBLES_EQUAL(1, admissionShare(alone, now), 0.001);
}
