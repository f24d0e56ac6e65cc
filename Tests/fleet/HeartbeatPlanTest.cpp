#include "papayabend/fleet/HeartbeatPlan.h"
#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <memory>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

/** Hosts that exchange their planned datagrams in virtual time, without loss. */
struct Fleet {
    std::map<std::string, std::unique_ptr<FleetView>> hosts; /**< By peer address. */
    base::Random random { 5 };
    base::TimePoint now { 100s };
    uint64_t round { 0 };
    size_t datagrams { 0 };
    size_t relayed { 0 };

    void add(const std::string& name, const std::string& domain)
    {
        auto heartbeat = hostHeartbeat(name, domain);
        hosts[heartbeat.peerAddress] = std::make_unique<FleetView>(heartbeat);
    }

    void play(size_t rounds, const std::vector<std::string>& seeds)
    {
        for (size_t n = 0; n < rounds; ++n) {
            ++round;
            now += FleetView::heartbeatInterval;
            for (auto& [address, view] : hosts) {
                ++view->self().sequence;
                for (const auto& planned : planHeartbeats(*view, seeds, round, random, now))
                    deliver(planned, view->self());
            }
        }
    }

    void deliver(const PlannedHeartbeat& planned, const Heartbeat& from)
    {
        ++datagrams;
        relayed += planned.relayed.size();
        auto it = hosts.find(planned.address);
        if (it == hosts.end())
            return;
        it->second->apply(from, now);
        for (const auto& heartbeat : planned.relayed)
            it->second->apply(heartbeat, now);
    }

    size_t leastLive() const
    {
        size_t least = hosts.size();
        for (const auto& [address, view] : hosts)
            least = std::min(least, view->liveHosts(now));
        return least;
    }
};

}

TEST_GROUP(HeartbeatPlan)
{
    Fleet fleet;

    void fill(size_t count, size_t domains)
    {
        for (size_t n = 0; n < count; ++n)
            fleet.add("h" + std::to_string(n), "d" + std::to_string(n % domains));
    }
};

// Guards against hosts that do not find each other through the seeds.
TEST(HeartbeatPlan, SmallFleetKnowsAllWithinThreeRounds)
{
    fill(8, 3);
    fleet.play(3, { "peers.h0", "peers.h1" });
    LONGS_EQUAL(8, fleet.leastLive());
}

// Guards against hosts of a large fleet that take live ones for dead, over two minutes.
TEST(HeartbeatPlan, LargeFleetKeepsItsViewOfTheOwnDomain)
{
    fill(76, 3);
    fleet.play(20, { "peers.h0", "peers.h1", "peers.h2" });
    size_t least = 76;
    for (int n = 0; n < 240; ++n) {
        fleet.play(1, { "peers.h0" });
        least = std::min(least, fleet.leastLive());
    }
    CHECK_TRUE(least >= 25);
}

// Guards against control traffic that grows with the square of the fleet.
TEST(HeartbeatPlan, CostOfARoundFollowsTheDomainNotTheFleet)
{
    auto perHost = [](size_t hosts, size_t domains) {
        Fleet each;
        for (size_t n = 0; n < hosts; ++n)
            each.add("h" + std::to_string(n), "d" + std::to_string(n % domains));
        each.play(20, { "peers.h0" });
        auto before = each.datagrams;
        each.play(20, { "peers.h0" });
        return static_cast<double>(each.datagrams - before) / 20 / static_cast<double>(hosts);
    };
    CHECK_TRUE(perHost(130, 13) < 1.5 * perHost(65, 13) * 2);
    CHECK_TRUE(perHost(130, 13) < 8);
}
