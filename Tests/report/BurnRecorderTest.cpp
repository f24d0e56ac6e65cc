#include "papayabend/report/BurnRecorder.h"

#include <CppUTest/TestHarness.h>
#include <thread>
#include <vector>

using namespace papayabend;
using namespace std::chrono_literals;
using base::RefusalCode;

TEST_GROUP(BurnRecorder)
{
    report::BurnRecorder recorder;
    base::TimePoint now { 1000s };

    void setup() override
    {
        base::LastReason reason;
        recorder.setObjectives(*table::parseTable("version,3\naccount,s\n@objective,latency=50ms latencyTarget=0.99 "
                                                  "coverage=0.999 availability=0.99\na,weight=1\n",
            reason));
        recorder.tick(now);
    }

    void advance(base::Duration time)
    {
        for (auto end = now + time; now < end;) {
            now += 5s;
            recorder.tick(now);
        }
    }

    report::Line line() const { return recorder.report("h", now, {}).lines.at(0); }
};

// Guards against requests that stay in a window after its length has passed, or leave it before.
TEST(BurnRecorder, WindowsExcludeOlderRequests)
{
    for (int n = 0; n < 90; ++n)
        recorder.record({ "a", "s", 10ms });
    for (int n = 0; n < 10; ++n)
        recorder.record({ "a", "s", 0ms, RefusalCode::Overloaded });
    advance(60s);
    DOUBLES_EQUAL(10, report::burnRates(line().windows[0].counts, line().objective).availability, 1e-6);
    advance(330s);
    LONGS_EQUAL(0, line().windows[0].counts.requests);
    LONGS_EQUAL(100, line().windows[1].counts.requests);
    advance(65min);
    LONGS_EQUAL(0, line().windows[1].counts.requests);
    LONGS_EQUAL(100, line().windows[2].counts.requests);
    LONGS_EQUAL(100, line().total.requests);
}

// Guards against error budgets that are spent by a caller's own errors or by requests above the limit in the table.
TEST(BurnRecorder, CallerErrorsSpendNoBudget)
{
    recorder.record({ "a", "s", 0ms, RefusalCode::LimitReached });
    recorder.record({ "a", "s", 0ms, RefusalCode::BadRequest });
    recorder.record({ "a", "s", 60ms, std::nullopt, 0.5, 4, 2 });
    LONGS_EQUAL(1, line().total.requests);
    LONGS_EQUAL(0, line().total.failed);
    LONGS_EQUAL(1, line().total.late);
    LONGS_EQUAL(1, line().total.incomplete);
    DOUBLES_EQUAL(0.5, report::meanCoverage(line()), 1e-5);
    DOUBLES_EQUAL(2, report::extraLoad(line()), 1e-9);
    LONGS_EQUAL(1, line().refusals.at("limit_reached"));
}

// Guards against memory use that grows with the number of different names that callers send.
TEST(BurnRecorder, NamesOfUnknownAccountsAreNotKept)
{
    for (int n = 0; n < 100; ++n)
        recorder.record({ "x" + std::to_string(n), "s", 0ms, RefusalCode::UnknownAccount });
    LONGS_EQUAL(1, recorder.report("h", now, {}).lines.size());
    for (int n = 0; n < 6000; ++n)
        recorder.record({ "x" + std::to_string(n), "s", 1ms });
    CHECK(recorder.report("h", now, {}).lines.size() <= 2049);
}

// Guards against lost counts when several threads record requests concurrently.
TEST(BurnRecorder, ConcurrentRequestsAreAllCounted)
{
    std::vector<std::jthread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([this] {
            for (int n = 0; n < 10'000; ++n)
                recorder.record({ "a", "s", 1ms });
        });
    }
    threads.clear();
    LONGS_EQUAL(40'000, line().total.requests);
}
