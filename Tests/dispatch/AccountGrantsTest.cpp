#include "papayabend/dispatch/AccountGrants.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(AccountGrants)
{
    base::LastReason reason;
    std::optional<table::Table> table { table::parseTable("version,1\n"
                                                          "account,desk,default\n"
                                                          "tailor.example,weight=4 limit=10/s,weight=2\n"
                                                          "cobbler.example,-,weight=1 priority=bulk\n"
                                                          "default,weight=0.5,-\n",
        reason) };
    base::TimePoint now { 100s };
};

// Guards against a request whose grant is read from the row of another account or the column of another service.
TEST(AccountGrants, OwnRowAndColumnPrecedeTheDefaults)
{
    DOUBLES_EQUAL(4, findAccountGrant(&*table, "tailor.example", "desk")->grant.weight, 0);
    DOUBLES_EQUAL(2, findAccountGrant(&*table, "tailor.example", "other")->grant.weight, 0);
    CHECK_TRUE(findAccountGrant(&*table, "cobbler.example", "other")->grant.priority == table::Priority::Bulk);
    DOUBLES_EQUAL(0.5, findAccountGrant(&*table, "unknown.example", "desk")->grant.weight, 0);
}

// Guards against access that the table does not grant, and against refusing requests when there is no table.
TEST(AccountGrants, EmptyCellGrantsNoAccess)
{
    CHECK_FALSE(findAccountGrant(&*table, "cobbler.example", "desk").has_value());
    CHECK_FALSE(findAccountGrant(&*table, "unknown.example", "other").has_value());
    CHECK_TRUE(findAccountGrant(nullptr, "unknown.example", "other").has_value());
}

// Guards against an account whose admitted rate over all hosts is above or below its limit.
TEST(AccountGrants, LimitHoldsOverAllHosts)
{
    auto grant = *findAccountGrant(&*table, "tailor.example", "desk");
    constexpr size_t hosts = 5;
    size_t admitted = 0;
    for (size_t host = 0; host < hosts; ++host) {
        AccountRates rates;
        for (int n = 0; n < 1000; ++n)
            admitted += rates.take(grant, hosts, now + n * 10ms) ? 0 : 1;
    }
    CHECK_TRUE(admitted >= 100 && admitted <= 110);
}

// Guards against a retry time at which the request would be refused again.
TEST(AccountGrants, WaitEndsWhenTheNextRequestIsAdmitted)
{
    auto grant = *findAccountGrant(&*table, "tailor.example", "desk");
    AccountRates rates;
    std::optional<base::Duration> wait;
    while (!wait)
        wait = rates.take(grant, 10, now);
    CHECK_TRUE(*wait == 1s);
    CHECK_TRUE(rates.take(grant, 10, now + 900ms).has_value());
    CHECK_FALSE(rates.take(grant, 10, now + 1s).has_value());
}
