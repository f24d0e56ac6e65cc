#include "papayabend/routing/ExtraBudget.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(ExtraBudget)
{
    routing::ExtraBudget budget;
    base::TimePoint now { 100s };

    int take(std::string_view account, int tries)
    {
        int taken = 0;
        for (int n = 0; n < tries; ++n)
            taken += budget.tryTake(account, 0.05, 0, 10s, now);
        return taken;
    }
};

// Guards against hedges beyond 5% of the attempts, and against one client account using up the budget of all.
TEST(ExtraBudget, HostAndAccountAreBothBounded)
{
    budget.needed("muscat", 1000, 10s, now);
    budget.needed("sul", 1000, 10s, now);
    LONGS_EQUAL(50, take("muscat", 1000));
    LONGS_EQUAL(50, take("sul", 1000));
    LONGS_EQUAL(0, take("other", 10));
}

// Guards against a budget that is saved up in a quiet time and spent at once.
TEST(ExtraBudget, OldAttemptsLeaveTheWindow)
{
    budget.needed("muscat", 1000, 10s, now);
    now += 11s;
    LONGS_EQUAL(0, take("muscat", 10));
}
