#include "papayabend/membership/HostList.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(HostList)
{
    base::LastReason reason;

    std::string host(const std::string& name, const std::string& state) const
    {
        return R"({"name":")" + name + R"(","callerAddress":"10.0.0.1:1","peerAddress":"10.0.0.1:2",)"
            + R"("failureDomain":"ruwi","region":"om","state":")" + state + "\"}";
    }
};

// Guards against a leaving host being parsed as a live one, and against an unsorted result.
TEST(HostList, LiveAndLeavingHostsAreDistinguished)
{
    auto list = membership::parseHostList(
        R"({"version":3,"hosts":[)" + host("b", "leaving") + "," + host("a", "live") + "]}", reason);
    CHECK(list.has_value());
    LONGS_EQUAL(3, list->version);
    CHECK(list->hosts[0].name == "a" && !list->hosts[0].isLeaving && list->hosts[1].isLeaving);
}

// Guards against a faulty list being applied in part, which would remove the hosts that were not parsed.
TEST(HostList, FaultyListsAreRejectedAsAWhole)
{
    for (const auto& text : { std::string("{"), std::string(R"({"version":0,"hosts":[]})"),
             R"({"version":1,"hosts":[)" + host("a", "gone") + "]}",
             R"({"version":1,"hosts":[)" + host("", "live") + "]}",
             R"({"version":1,"hosts":[)" + host("a", "live") + "," + host("a", "live") + "]}",
             std::string(R"({"version":1,"hosts":[{"name":"a"}]})") })
        CHECK_FALSE(membership::parseHostList(text, reason).has_value());
}
