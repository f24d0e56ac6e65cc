#include "papayabend/fleet/EntryAddresses.h"
#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(EntryAddresses)
{
    FleetView view { hostHeartbeat("a", "d1") };
    base::TimePoint now { 100s };

    std::vector<std::string> answer(const std::string& domain, base::Duration later = {}) const
    {
        return entryAddresses(view, domain, { 3 }, 64, now + later);
    }
};

// Guards against callers that cross failure domains although hosts are near.
TEST(EntryAddresses, HostsOfTheCallersDomainArePreferred)
{
    view.apply(hostHeartbeat("b", "d1"), now);
    view.apply(hostHeartbeat("c", "d2"), now);
    LONGS_EQUAL(2, answer("d1").size());
    LONGS_EQUAL(3, answer("d2").size());
    STRCMP_EQUAL("callers.c", answer("d2").front().c_str());
    LONGS_EQUAL(3, answer("elsewhere").size());
}

// Guards against callers that are sent to hosts that stop.
TEST(EntryAddresses, LeavingHostsAreNotNamed)
{
    auto leaving = hostHeartbeat("b", "d1");
    leaving.stage = HostStage::Leaving;
    view.apply(leaving, now);
    view.self().stage = HostStage::Leaving;
    CHECK_TRUE(answer("d1").empty());
}

// Guards against a host that is cut off and sends all callers to itself.
TEST(EntryAddresses, HostThatHearsNobodyNamesTheHostsOfLate)
{
    for (const auto* name : { "b", "c", "d" })
        view.apply(hostHeartbeat(name, "d2"), now);
    LONGS_EQUAL(4, answer("d1", 10s).size());
}
