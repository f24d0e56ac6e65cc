#include "papayabend/entry/RankHosts.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend::entry;
using namespace std::chrono_literals;
using papayabend::base::TimePoint;
using papayabend::membership::HostState;
using papayabend::membership::HostView;

TEST_GROUP(RankHosts)
{
    HostView view;
    CallerAssignments assignments;
    EntrySettings settings;
    TimePoint now { 1000s };

    void setup() override
    {
        for (int n = 0; n < 6; ++n) {
            auto name = "h" + std::to_string(n);
            view.hosts.push_back(
                { name, name + ":1", name + ":2", n < 3 ? "ruwi" : "seeb", "gulf", 1, 1, HostState::Serving, 0 });
        }
    }

    EntryAnswer ask(int caller, std::string domain = {})
    {
        return rankHosts(view, {}, "muscat", "depot-counter", { std::to_string(caller), std::move(domain) }, settings,
            assignments, now);
    }
};

// Guards against hosts that get far more callers than others of equal load.
TEST(RankHosts, CallersAreSpreadWithinTenPercent)
{
    std::map<std::string, int> first;
    for (int caller = 0; caller < 600; ++caller)
        ++first[ask(caller).hosts.at(0).name];
    for (const auto& [host, callers] : first)
        CHECK(callers >= 90 && callers <= 110);
    LONGS_EQUAL(6, first.size());
}

// Guards against callers that are sent to a host that leaves or is silent.
TEST(RankHosts, OnlyServingHostsAreNamed)
{
    view.hosts[0].state = HostState::Withdrawing;
    view.hosts[1].state = HostState::Suspected;
    for (int caller = 0; caller < 50; ++caller) {
        for (const auto& host : ask(caller).hosts)
            CHECK(host.name != "h0" && host.name != "h1");
    }
}

// Guards against callers that use another failure domain although theirs has hosts.
TEST(RankHosts, OwnFailureDomainComesFirst)
{
    for (int caller = 0; caller < 50; ++caller)
        CHECK(ask(caller, "seeb").hosts.at(0).failureDomain == "seeb");
}

// Guards against a loaded host that gets as many callers as an idle one.
TEST(RankHosts, LoadedHostsGetFewerCallers)
{
    view.hosts[0].load = 0.5;
    int loaded = 0;
    for (int caller = 0; caller < 1100; ++caller)
        loaded += ask(caller).hosts.at(0).name == "h0" ? 1 : 0;
    CHECK(loaded > 80 && loaded < 120);
}
