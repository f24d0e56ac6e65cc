#include "papayabend/routing/ServingSet.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace papayabend;
using routing::ServingHost;

TEST_GROUP(ServingSet)
{
    std::vector<ServingHost> hosts;

    void addHosts(int count, int domains)
    {
        for (int n = 0; n < count; ++n)
            hosts.push_back({ "h" + std::to_string(n), "d" + std::to_string(n % domains) });
    }
};

// Guards against connections from 1,600 hosts to an upstream that accepts 25.
TEST(ServingSet, ConnectionsOfTheSetStayWithinTheLimit)
{
    catalog::Catalog catalog;
    catalog.upstreams.push_back({ catalog::UpstreamId { 0 }, "u", "", "d0", 2, 25, {}, false });
    catalog::Service service { "s", catalog::ServiceKind::Sharded,
        { { 1, { { "x", 1, { catalog::UpstreamId { 0 } } } } } }, {} };
    LONGS_EQUAL(22, routing::servingSetSize(catalog, service, 1, 0.9));
    LONGS_EQUAL(11, routing::servingSetSize(catalog, service, 2, 0.9));
    addHosts(1600, 13);
    auto set = routing::servingHosts("s", hosts, 22);
    LONGS_EQUAL(22, set.size());
    std::map<std::string, int> domains;
    for (const auto& host : hosts)
        domains[host.failureDomain] += std::ranges::binary_search(set, host.name);
    for (const auto& [name, count] : domains)
        CHECK(count == 1 || count == 2);
}

// Guards against hosts that compute different sets because they list the hosts in a different order, and against a set
// of which more than one member changes when one host joins or leaves.
TEST(ServingSet, SetIgnoresTheOrderOfHostsAndChangesLittle)
{
    addHosts(100, 4);
    auto before = routing::servingHosts("s", hosts, 20);
    std::ranges::reverse(hosts);
    CHECK(before == routing::servingHosts("s", hosts, 20));
    std::erase_if(hosts, [&](const ServingHost& host) { return host.name == before.front(); });
    auto after = routing::servingHosts("s", hosts, 20);
    std::vector<std::string> kept;
    std::ranges::set_intersection(before, after, std::back_inserter(kept));
    LONGS_EQUAL(19, kept.size());
}

// Guards against hosts that serve nothing in a fleet that is smaller than the serving set.
TEST(ServingSet, AllHostsOfASmallFleetServe)
{
    addHosts(8, 3);
    LONGS_EQUAL(8, routing::servingHosts("s", hosts, 22).size());
}
