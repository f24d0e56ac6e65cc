#include "papayabend/fleet/Reach.h"

#include "fleet/FleetFixture.h"
#include "papayabend/fleet/EntryAddresses.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(Reach)
{
    base::Random random { 1 };
    base::TimePoint now { 100s };
    FleetView fleet { hostHeartbeat("self", "d0") };

    void add(const std::string& name, const std::string& domain, UpstreamReachState reach)
    {
        auto heartbeat = hostHeartbeat(name, domain);
        heartbeat.reach = reach;
        fleet.apply(heartbeat, now);
    }

    std::string target(const std::set<std::string>& excluded = {}) { return relayTarget(fleet, excluded, random, now); }
};

// Guards against requests that are passed on to a host that cannot serve them either, or farther than necessary.
TEST(Reach, RequestsAreRelayedToHostsThatReachTheUpstreams)
{
    add("lost", "d0", UpstreamReachState::Lost);
    STRCMP_EQUAL("", target().c_str());
    add("idle", "d0", UpstreamReachState::Unknown);
    STRCMP_EQUAL("peers.idle", target().c_str());
    add("far", "d1", UpstreamReachState::Reached);
    for (int n = 0; n < 20; ++n)
        STRCMP_EQUAL("peers.far", target().c_str());
    add("near", "d0", UpstreamReachState::Reached);
    for (int n = 0; n < 20; ++n)
        STRCMP_EQUAL("peers.near", target().c_str());
    STRCMP_EQUAL("peers.far", target({ "peers.near" }).c_str());
}

// Guards against callers that are sent to hosts which have lost their links, also if these are a whole failure domain.
TEST(Reach, HostsWithoutLinksAreNotNamedToCallers)
{
    fleet.self().reach = UpstreamReachState::Lost;
    for (const auto* name : { "a", "b", "c" }) {
        add(name, "d0", UpstreamReachState::Lost);
        add(std::string("far ") + name, "d1", UpstreamReachState::Reached);
    }
    for (auto prefersStrongHosts : { false, true }) {
        auto addresses = entryAddresses(fleet, "d0", { .prefersStrongHosts = prefersStrongHosts }, 64, now);
        CHECK_TRUE(addresses.size() >= 2);
        for (const auto& address : addresses)
            CHECK_TRUE(address.starts_with("callers.far"));
    }
}

// Guards against callers without any host when the upstreams themselves have failed, so that no host reaches them.
TEST(Reach, AllHostsAreNamedIfNoneReachesTheUpstreams)
{
    fleet.self().reach = UpstreamReachState::Lost;
    for (const auto* name : { "a", "b" })
        add(name, "d0", UpstreamReachState::Lost);
    LONGS_EQUAL(3, entryAddresses(fleet, "d0", {}, 64, now).size());
}
