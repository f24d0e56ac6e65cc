#include "papayabend/routing/ExtraBudget.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(ExtraBudget)
{
    routing::ExtraBudget budget;
    base::TimePoint now { 100s };

    int countTaken(std::string_view account, int tries)
    {
        int taken = 0;
        for (int n = 0; n < tries; ++n)
            taken += budget.tryTake(account, 0.05, 0, 10s, now);
        return taken;
    }
};

// Guards against extra attempts beyond 5% of the needed ones, and against one client account that uses up the budget of
// all.
TEST(ExtraBudget, HostAndAccountAreBothBounded)
{
    budget.recordNeeded("muscat", 1000, 10s, now);
    budget.recordNeeded("sul", 1000, 10s, now);
    LONGS_EQUAL(50, countTaken("muscat", 1000));
    LONGS_EQUAL(50, countTaken("sul", 1000));
    LONGS_EQUAL(0, countTaken("other", 10));
}

// Guards against unused budget that accumulates and is spent in a burst later.
TEST(ExtraBudget, AttemptsBeforeTheWindowDoNotCount)
{
    budget.recordNeeded("muscat", 1000, 10s, now);
    now += 11s;
    LONGS_EQUAL(0, countTaken("muscat", 10));
}
