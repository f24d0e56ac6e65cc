#include "papayabend/fleet/Roles.h"
#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>
#include <tuple>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(Roles)
{
    base::TimePoint now { 100s };
    std::vector<Heartbeat> heartbeats;

    void fill(size_t count, size_t domains)
    {
        for (size_t n = 0; n < count; ++n)
            heartbeats.push_back(hostHeartbeat("h" + std::to_string(n), "d" + std::to_string(n % domains)));
    }

    FleetView viewOf(size_t index) const
    {
        FleetView view(heartbeats[index]);
        for (const auto& heartbeat : heartbeats)
            view.apply(heartbeat, now);
        return view;
    }

    std::set<std::string> readers() const
    {
        std::set<std::string> names;
        for (size_t n = 0; n < heartbeats.size(); ++n) {
            if (isReader(viewOf(n), now))
                names.insert(heartbeats[n].name);
        }
        return names;
    }

    std::string domainOf(const std::string& name) const
    {
        return std::ranges::find(heartbeats, name, &Heartbeat::name)->failureDomain;
    }
};

// Guards against a store that is read by every host, or by none.
TEST(Roles, SmallFleetHasTwoReadersInDifferentDomains)
{
    fill(8, 3);
    auto names = readers();
    LONGS_EQUAL(2, names.size());
    CHECK_TRUE(domainOf(*names.begin()) != domainOf(*names.rbegin()));
}

// Guards against a fleet whose readers the store does not answer while it would answer other hosts.
TEST(Roles, HostsThatTheStoreDoesNotAnswerAreTheLastToRead)
{
    fill(8, 3);
    auto first = readers();
    for (auto& heartbeat : heartbeats)
        heartbeat.isStoreUnreachable = first.contains(heartbeat.name);
    auto second = readers();
    LONGS_EQUAL(2, second.size());
    for (const auto& name : second)
        CHECK_FALSE(first.contains(name));
    for (auto& heartbeat : heartbeats)
        heartbeat.isStoreUnreachable = true;
    LONGS_EQUAL(2, readers().size());
}

// Guards against a number of readers that grows with the number of hosts.
TEST(Roles, LargeFleetHasOneReaderInEachDomain)
{
    fill(66, 5);
    auto names = readers();
    std::set<std::string> domains;
    for (const auto& name : names)
        domains.insert(domainOf(name));
    LONGS_EQUAL(5, names.size());
    LONGS_EQUAL(5, domains.size());
}

// Guards against a reader that pushes its changes to no host, and against pushing them to every host of every failure
// domain of a large fleet.
TEST(Roles, ChangesInALargeFleetArePushedToTheOwnDomain)
{
    fill(8, 3);
    LONGS_EQUAL(7, pushTargets(viewOf(0), now).size());
    heartbeats.clear();
    fill(60, 5);
    LONGS_EQUAL(11, pushTargets(viewOf(0), now).size());
}

// Guards against readers that all take the same rank, so that they answer at the same moment, and against a large fleet
// of one failure domain that hears of the store only once in a cycle.
TEST(Roles, ReadersHaveDifferentRanks)
{
    for (auto [count, domains, expected] :
        { std::tuple<size_t, size_t, size_t> { 6, 3, 2 }, { 60, 5, 5 }, { 40, 1, 2 }, { 1, 1, 1 } }) {
        heartbeats.clear();
        fill(count, domains);
        std::set<size_t> ranks;
        for (size_t n = 0; n < heartbeats.size(); ++n) {
            auto role = readerRole(viewOf(n), now);
            LONGS_EQUAL(expected, role.readers);
            if (role.rank)
                CHECK_TRUE(ranks.insert(*role.rank).second);
        }
        LONGS_EQUAL(expected, ranks.size());
        LONGS_EQUAL(expected - 1, *ranks.rbegin());
    }
}

// Guards against all hosts that stand in reading the store at the same moment.
TEST(Roles, HostsHaveDifferentSlots)
{
    for (auto [count, domains] : { std::pair<size_t, size_t> { 6, 3 }, { 60, 3 } }) {
        heartbeats.clear();
        fill(count, domains);
        heartbeats[0].stage = HostStage::Leaving;
        std::set<std::pair<std::string, size_t>> slots;
        for (size_t n = 0; n < heartbeats.size(); ++n) {
            auto slot = readerSlot(viewOf(n), now);
            auto group = count > FleetView::maxSmallFleet ? heartbeats[n].failureDomain : "";
            CHECK_TRUE(slots.insert({ group, slot.position }).second);
            CHECK_TRUE(slot.position < slot.count || n == 0);
        }
    }
}

// Guards against readers of other failure domains that hear of an answer of the store only with relayed heartbeats.
TEST(Roles, ReadersOfOtherDomainsAreInformed)
{
    fill(60, 5);
    std::set<std::string> others;
    for (const auto& name : readers())
        others.insert("peers." + name);
    auto addresses = confirmationTargets(viewOf(0), now);
    LONGS_EQUAL(11 + 4, addresses.size());
    auto informed = std::ranges::count_if(addresses, [&](const auto& it) { return others.contains(it); });
    CHECK_TRUE(informed >= 4);
    heartbeats.clear();
    fill(8, 3);
    LONGS_EQUAL(7, confirmationTargets(viewOf(0), now).size());
}

// Guards against callers that move between all hosts when one is lost.
TEST(Roles, LossOfAServingHostReplacesNoOther)
{
    fill(30, 3);
    auto namesOf = [&] {
        std::set<std::string> names;
        auto view = viewOf(0);
        for (const auto* heartbeat : servingHosts(view, "d1", { 3 }, now))
            names.insert(heartbeat->name);
        return names;
    };
    auto before = namesOf();
    LONGS_EQUAL(3, before.size());
    std::erase_if(heartbeats, [&](const auto& it) { return it.name == *before.begin(); });
    auto after = namesOf();
    LONGS_EQUAL(3, after.size());
    for (auto it = std::next(before.begin()); it != before.end(); ++it)
        CHECK_TRUE(after.contains(*it));
}

// Guards against callers that are sent to the hosts with the least capacity, or to hosts that are starting or leaving.
TEST(Roles, ReadyHostsWithTheMostCapacityServe)
{
    fill(12, 1);
    for (size_t n = 0; n < heartbeats.size(); ++n)
        heartbeats[n].capacity = n < 4 ? 500 : 120;
    heartbeats[0].stage = HostStage::Leaving;
    auto view = viewOf(5);
    for (const auto* heartbeat : servingHosts(view, "d0", { 3 }, now)) {
        LONGS_EQUAL(500, heartbeat->capacity);
        CHECK_TRUE(heartbeat->name != "h0");
    }
    LONGS_EQUAL(3, servingCount(view, { 3 }, now));
    CHECK_FALSE(isServing(view, { 3 }, now));
}

// Guards against a fixed number of hosts that serves all callers of a failure domain, whatever the load, while other
// hosts are idle.
TEST(Roles, NumberOfServingHostsFollowsTheLoadOfTheDomain)
{
    fill(40, 2);
    for (auto& heartbeat : heartbeats)
        heartbeat.capacity = 250;
    ServingSettings settings { 3, 6000 };
    LONGS_EQUAL(6, servingCount(viewOf(0), settings, now));
    auto first = servingHosts(viewOf(0), "d0", settings, now).front()->name;
    // A load of 10,000 attempts per second needs seven hosts of a quarter of a core, which carry 10,500; six do not
    // suffice.
    for (auto& heartbeat : heartbeats)
        heartbeat.load = heartbeat.failureDomain == "d0" ? 500 : 0;
    for (size_t n = 0; n < heartbeats.size(); ++n) {
        LONGS_EQUAL(7, servingHosts(viewOf(n), "d0", settings, now).size());
        LONGS_EQUAL(3, servingHosts(viewOf(n), "d1", settings, now).size());
        STRCMP_EQUAL(first.c_str(), servingHosts(viewOf(n), "d0", settings, now).front()->name.c_str());
    }
    for (auto& heartbeat : heartbeats)
        heartbeat.load = 1'000'000;
    LONGS_EQUAL(40, servingCount(viewOf(0), settings, now));
}

// Guards against short jobs on weak hosts that are named merely to reach the least number of hosts.
TEST(Roles, TwoStrongHostsServeWithoutWeakOnes)
{
    fill(60, 3);
    for (size_t n = 0; n < heartbeats.size(); ++n)
        heartbeats[n].capacity = n < 6 ? 500 : 120;
    ServingSettings settings { 3, 6000, true };
    LONGS_EQUAL(6, servingCount(viewOf(0), settings, now));
    LONGS_EQUAL(9, servingCount(viewOf(0), { 3, 6000 }, now));
    for (const auto* heartbeat : servingHosts(viewOf(9), "d1", settings, now))
        LONGS_EQUAL(500, heartbeat->capacity);
    heartbeats[1].stage = HostStage::Leaving;
    LONGS_EQUAL(3, servingHosts(viewOf(9), "d1", settings, now).size());
    LONGS_EQUAL(500, servingHosts(viewOf(9), "d1", settings, now).front()->capacity);
}

// Guards against strong hosts without headroom for the callers of a lost failure domain, and against weak hosts that
// are named for headroom alone.
TEST(Roles, StrongHostsBearTheLossOfADomain)
{
    fill(60, 3);
    for (size_t n = 0; n < heartbeats.size(); ++n)
        heartbeats[n].capacity = n < 12 ? 500 : 120;
    ServingSettings settings { 2, 6000, true };
    auto setLoad = [&](const std::string& domain, uint32_t load) {
        std::ranges::find(heartbeats, domain, &Heartbeat::failureDomain)->load = load;
    };
    // Four strong hosts of a domain carry 12,000 attempts per second, two 6,000.
    setLoad("d0", 5000);
    LONGS_EQUAL(2, servingHosts(viewOf(0), "d0", settings, now).size());
    setLoad("d1", 6000);
    LONGS_EQUAL(3, servingHosts(viewOf(0), "d0", settings, now).size());
    setLoad("d1", 40'000);
    LONGS_EQUAL(4, servingHosts(viewOf(0), "d0", settings, now).size());
    setLoad("d0", 12'100);
    // Callers choose evenly, so that 17 hosts are needed of which the weakest carries 720.
    LONGS_EQUAL(17, servingHosts(viewOf(0), "d0", settings, now).size());
}

// Guards against a fleet of equal hosts that is served otherwise because strong ones are preferred.
TEST(Roles, EqualFleetIsServedAsWithoutThePreference)
{
    fill(40, 2);
    for (auto& heartbeat : heartbeats)
        heartbeat.capacity
            = std::ranges::find(heartbeats, heartbeat.name, &Heartbeat::name) - heartbeats.begin() < 8 ? 260 : 250;
    for (uint32_t load : { 0U, 100U, 500U, 100'000U }) {
        for (auto& heartbeat : heartbeats)
            heartbeat.load = load;
        CHECK_TRUE(servingHosts(viewOf(0), "d0", { 3, 6000 }, now).size()
            == servingHosts(viewOf(0), "d0", { 3, 6000, true }, now).size());
        auto view = viewOf(0);
        CHECK_TRUE(servingHosts(view, "d1", { 3, 6000 }, now) == servingHosts(view, "d1", { 3, 6000, true }, now));
    }
}
