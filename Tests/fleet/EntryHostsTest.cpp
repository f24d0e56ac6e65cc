#include "fleet/FleetFixture.h"
#include "papayabend/fleet/EntryAddresses.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(EntryHosts)
{
    static constexpr size_t domains = 3;
    base::TimePoint now { 100s };
    ServingSettings settings { 3, 6000, true };
    EntryOptions options;
    std::vector<Heartbeat> heartbeats;

    void setup() override
    {
        for (size_t n = 0; n < 30; ++n) {
            auto name = (n < 6 ? "strong" : "weak") + std::to_string(n);
            heartbeats.push_back(hostHeartbeat(name, "d" + std::to_string(n % domains)));
            heartbeats.back().capacity = n < 6 ? 500 : 120;
        }
    }

    FleetView view() const
    {
        FleetView result(heartbeats.back());
        for (const auto& heartbeat : heartbeats)
            result.apply(heartbeat, now);
        return result;
    }

    /** Returns the failure domains of the hosts that a caller in \a domain is sent to. */
    std::vector<std::string> domainsNamed(const std::string& domain) const
    {
        std::vector<std::string> names;
        for (const auto& address : entryAddresses(view(), domain, settings, 64, now, options))
            names.push_back(std::ranges::find(heartbeats, address, &Heartbeat::callerAddress)->failureDomain);
        return names;
    }

    void setLoad(const std::string& domain, uint32_t load)
    {
        std::ranges::find(heartbeats, domain, &Heartbeat::failureDomain)->load = load;
    }
};

// Guards against callers that get a host of another failure domain, or a weak one, without need.
TEST(EntryHosts, CallersGetStrongHostsOfTheirDomain)
{
    auto fleet = view();
    auto addresses = entryAddresses(fleet, "d1", settings, 64, now);
    LONGS_EQUAL(2, addresses.size());
    for (const auto& address : addresses)
        CHECK_TRUE(address.starts_with("callers.strong"));
    CHECK_TRUE(domainsNamed("d1") == std::vector<std::string>(2, "d1"));
}

// Guards against a failure domain that refuses requests while another one is idle, and against a load that moves as a
// whole to the other one and back.
TEST(EntryHosts, ExcessGoesToTheNearestDomainWithHeadroom)
{
    // Ten hosts carry 7,200 attempts per second at an even choice.
    setLoad("d0", 7900);
    setLoad("d1", 7200);
    auto named = domainsNamed("d0");
    LONGS_EQUAL(10, std::ranges::count(named, "d0"));
    LONGS_EQUAL(1, std::ranges::count(named, "d2"));
    LONGS_EQUAL(11, named.size());
    setLoad("d1", 0);
    setLoad("d2", 1000);
    LONGS_EQUAL(1, std::ranges::count(domainsNamed("d0"), "d1"));
    options.regions = { { "d0", "r1" }, { "d1", "r2" }, { "d2", "r1" } };
    LONGS_EQUAL(1, std::ranges::count(domainsNamed("d0"), "d2"));
}

// Guards against callers of a failure domain without hosts that are sent to weak hosts, or to a single one.
TEST(EntryHosts, DomainWithoutHostsIsServedByStrongHosts)
{
    for (auto& heartbeat : heartbeats)
        heartbeat.stage = heartbeat.failureDomain == "d1" ? HostStage::Leaving : HostStage::Ready;
    auto addresses = entryAddresses(view(), "d1", settings, 64, now);
    LONGS_EQUAL(2, addresses.size());
    for (const auto& address : addresses)
        CHECK_TRUE(address.starts_with("callers.strong"));
    LONGS_EQUAL(2, entryAddresses(view(), "elsewhere", settings, 64, now).size());
}

// Guards against callers that are sent to hosts of a failure domain that is evacuated while others are ready, and
// against callers without an address when all are evacuated.
TEST(EntryHosts, HostsOfEvacuatedDomainsAreNamedLast)
{
    for (auto prefersStrong : { true, false }) {
        settings.prefersStrongHosts = prefersStrong;
        options.evacuatedDomains = { "d1" };
        LONGS_EQUAL(0, std::ranges::count(domainsNamed("d1"), "d1"));
        CHECK_TRUE(domainsNamed("d1").size() >= 2);
        options.evacuatedDomains = { "d0", "d1" };
        for (const auto* domain : { "d0", "d1", "d2" })
            LONGS_EQUAL(domainsNamed(domain).size(), std::ranges::count(domainsNamed(domain), "d2"));
        options.evacuatedDomains = { "d0", "d1", "d2" };
        CHECK_TRUE(domainsNamed("d1").size() >= 2);
    }
}

// Guards against answers that name, beside a running host, one that was lost longer ago than 8 s.
TEST(EntryHosts, HostsLostLongAgoAreNotNamedBesideARunningOne)
{
    heartbeats.resize(12);
    auto fleet = view();
    LONGS_EQUAL(12, entryAddresses(fleet, "d1", settings, 64, now + 7s).size());
    LONGS_EQUAL(1, entryAddresses(fleet, "d1", settings, 64, now + 9s).size());
    fleet.self().stage = HostStage::Leaving;
    LONGS_EQUAL(11, entryAddresses(fleet, "d1", settings, 64, now + 9s).size());
}
