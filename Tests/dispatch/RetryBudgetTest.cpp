#include "papayabend/dispatch/RetryBudget.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <vector>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(RetryBudget)
{
    RetryBudgetSettings settings { 0.2, 56, 10s };
    base::TimePoint start { 1000s };

    /** Simulates hosts that retry every request; returns the highest number of retries within any ten seconds, and the
     * number of requests in that time. */
    std::pair<size_t, size_t> worstWindow(size_t hosts, base::Duration interval, base::Duration length)
    {
        std::vector<RetryBudget> budgets(hosts);
        std::deque<base::TimePoint> retries;
        std::deque<base::TimePoint> requests;
        std::pair<size_t, size_t> worst;
        size_t next = 0;
        for (auto now = start; now < start + length; now += interval) {
            auto& budget = budgets[next++ % hosts];
            budget.addRequest("s", settings, now);
            requests.push_back(now);
            if (budget.tryTake("s", settings, 1.0 / static_cast<double>(hosts), now))
                retries.push_back(now);
            auto isOld = [&](auto time) { return time < now - settings.window; };
            while (!retries.empty() && isOld(retries.front()))
                retries.pop_front();
            while (!requests.empty() && isOld(requests.front()))
                requests.pop_front();
            if (retries.size() > worst.first)
                worst = { retries.size(), requests.size() };
        }
        return worst;
    }
};

// Guards against retries beyond the bound of a service when the requests of all hosts fail at the same time.
TEST(RetryBudget, HostsTogetherStayWithinTheBoundInEachWindow)
{
    for (size_t hosts : { 1U, 8U, 76U }) {
        auto [retries, requests] = worstWindow(hosts, 11ms, 60s);
        CHECK_TRUE(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + 56);
        CHECK_TRUE(static_cast<double>(retries) >= 0.5 * (0.2 * static_cast<double>(requests) + 56));
    }
}

// Guards against a service with few requests that gets no retries at all.
TEST(RetryBudget, FixedPartAllowsRetriesOfRareRequests)
{
    RetryBudget budget;
    CHECK_TRUE(budget.tryTake("s", settings, 1.0 / 8, start));
}
