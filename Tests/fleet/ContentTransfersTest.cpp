#include "papayabend/fleet/ContentTransfers.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(ContentTransfers)
{
    ContentTransfers transfers;
    base::TimePoint now { 100s };
};

// Guards against places that stay taken by receivers that have failed.
TEST(ContentTransfers, TransferOfAFailedReceiverStopsCounting)
{
    for (size_t n = 0; n < ContentTransfers::maxTransfers; ++n)
        CHECK_TRUE(transfers.begin("receiver", { 0, 2 }, now).has_value());
    CHECK_FALSE(transfers.begin("other", { 0, 2 }, now).has_value());
    CHECK_TRUE(transfers.begin("other", { 0, 2 }, now + ContentTransfers::maxTransferTime + 1ms).has_value());
}

// Guards against a referral to a host that has not received the content, or has none newer than the asking host.
TEST(ContentTransfers, OnlyReceiversOfNewerContentAreNamed)
{
    auto first = transfers.begin("first", { 0, 2 }, now);
    auto second = transfers.begin("second", { 0, 4 }, now);
    CHECK_TRUE(transfers.receiversOf({ 0, 1 }).empty());
    transfers.end(*first);
    transfers.end(*second);
    LONGS_EQUAL(2, transfers.receiversOf({ 0, 1 }).size());
    LONGS_EQUAL(1, transfers.receiversOf({ 0, 2 }).size());
    STRCMP_EQUAL("second", transfers.receiversOf({ 0, 2 }).front().c_str());
}

// Guards against referrals that grow with the fleet, and against naming a host several times.
TEST(ContentTransfers, ReferralsAreLimitedAndDistinct)
{
    for (int round = 0; round < 3; ++round) {
        for (size_t n = 0; n < ContentTransfers::maxReferrals + 4; ++n)
            transfers.end(*transfers.begin("receiver " + std::to_string(n), { 0, 2 }, now));
    }
    LONGS_EQUAL(ContentTransfers::maxReferrals, transfers.receiversOf({ 0, 1 }).size());
}
