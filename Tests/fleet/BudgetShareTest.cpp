#include "papayabend/fleet/BudgetShare.h"
#include "papayabend/dispatch/RetryBudget.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <vector>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(BudgetShare)
{
    base::TimePoint start { 1000s };
    base::Duration window { 10s };
};

// Guards against a large fleet whose few busy hosts have only a small share of the allowance.
TEST(BudgetShare, HostsThatCallersAreSentToHaveTheLargestShares)
{
    BudgetShare serving { start };
    BudgetShare other { start };
    observe(serving, true, 9, start);
    observe(other, false, 9, start);
    DOUBLES_EQUAL(0.2 / 76 + 0.8 / 9, partOf(serving, 76, window, start + 20s), 1e-9);
    DOUBLES_EQUAL(0.2 / 76, partOf(other, 76, window, start + 20s), 1e-9);
    DOUBLES_EQUAL(1, 9 * partOf(serving, 76, window, start + 20s) + 67 * partOf(other, 76, window, start + 20s), 1e-9);
}

// Guards against a process that restarts repeatedly, each time with a full budget.
TEST(BudgetShare, HostThatHasJustStartedHasNoShare)
{
    BudgetShare share { start };
    observe(share, true, 8, start);
    dispatch::RetryBudget budget;
    dispatch::RetryBudgetSettings settings { 0.2, 56, window };
    CHECK_FALSE(budget.tryTake("s", settings, partOf(share, 8, window, start + 100ms), start + 100ms));
    CHECK_TRUE(budget.remaining("s", settings, partOf(share, 8, window, start + 10s), start + 10s) > 5);
}

// Guards against a partition in which each side uses the whole allowance.
TEST(BudgetShare, SilentServingHostsKeepTheirShare)
{
    BudgetShare share { start };
    observe(share, true, 9, start);
    for (auto now = start; now < start + 29s; now += 1s)
        observe(share, true, 3, now);
    DOUBLES_EQUAL(0.2 / 76 + 0.8 / 9, partOf(share, 76, window, start + 29s), 1e-9);
    observe(share, true, 3, start + 31s);
    DOUBLES_EQUAL(0.2 / 76 + 0.8 / 3, partOf(share, 76, window, start + 31s), 1e-9);
}

// Guards against retries beyond the bound of a service while the hosts that callers are sent to are replaced one after
// the other and each uses its whole budget.
TEST(BudgetShare, ReplacedServingHostsStayWithinTheBound)
{
    constexpr size_t hosts = 40;
    constexpr size_t serving = 9;
    dispatch::RetryBudgetSettings settings { 0.2, 172, window };
    std::vector<dispatch::RetryBudget> budgets(hosts);
    std::vector<BudgetShare> shares(hosts, BudgetShare { start - 60s });
    for (size_t n = 0; n < hosts; ++n)
        observe(shares[n], n < serving, serving, start - 60s);
    std::deque<base::TimePoint> retries;
    std::deque<base::TimePoint> requests;
    size_t first = 0;
    size_t count = 0;
    for (auto now = start; now < start + 60s; now += 10ms) {
        if (++count % 100 == 0) {
            observe(shares[first % hosts], false, serving, now);
            observe(shares[(first + serving) % hosts], true, serving, now);
            ++first;
        }
        auto n = (first + count % serving) % hosts;
        budgets[n].addRequest("s", settings, now);
        requests.push_back(now);
        for (int i = 0; i < 3; ++i) {
            if (budgets[n].tryTake("s", settings, partOf(shares[n], hosts, window, now), now))
                retries.push_back(now);
        }
        for (auto* times : { &retries, &requests }) {
            while (!times->empty() && times->front() < now - window)
                times->pop_front();
        }
        CHECK_TRUE(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(requests.size()) + 172);
    }
}
