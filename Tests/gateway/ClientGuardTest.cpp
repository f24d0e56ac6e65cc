#include "papayabend/gateway/ClientGuard.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

TEST_GROUP(ClientGuard)
{
    RefusalCounters counters;
    base::TimePoint now { 100s };
};

// Guards against a log line for each client of a flood, and against refusals that no line counts.
TEST(ClientGuard, RefusalsAreReportedTogether)
{
    CHECK_TRUE(counters.takeReports(now).empty());
    counters.record(RefusalReason::Memory, "10.0.0.1");
    LONGS_EQUAL(1, counters.takeReports(now).size());
    for (auto n = 0; n < 1000; ++n)
        counters.record(RefusalReason::Memory, "10.0.0.2");
    CHECK_TRUE(counters.takeReports(now + 1s).empty());
    // Another reason has an interval of its own.
    counters.record(RefusalReason::Timeout, "10.0.0.3");
    LONGS_EQUAL(1, counters.takeReports(now + 1s).size());
    auto reports = counters.takeReports(now + 5s);
    LONGS_EQUAL(1, reports.size());
    LONGS_EQUAL(1000, reports.front().count);
    STRCMP_EQUAL("10.0.0.2", reports.front().client.c_str());
    LONGS_EQUAL(1001, counters.count(RefusalReason::Memory));
    CHECK_TRUE(counters.takeReports(now + 60s).empty());
}
