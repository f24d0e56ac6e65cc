#include "replay/Deployment.h"
#include "replay/Load.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(EngineReport) {};

// Guards against reports that omit a request that the host answered or refused, or count it twice.
TEST(EngineReport, CountsEveryRequestOnce)
{
    replay::Simulation simulation;
    auto deployment = replay::muscat();
    replay::setUp(simulation, deployment);
    auto from = simulation.now;
    replay::setArrivals(simulation,
        { { "muscat", "fitting-desk", 200, 500ms, {}, "f" }, { "stranger", "fitting-desk", 50, 500ms, {}, "x" } },
        from + 2s);
    replay::run(simulation, from + 4s);
    std::vector<report::Report> reports;
    for (auto& host : simulation.hosts)
        reports.push_back(host.engine->report(simulation.now));
    auto merged = report::mergeReports(reports);
    uint64_t requests = 0;
    uint64_t answered = 0;
    for (const auto& line : merged.lines) {
        requests += line.total.answered;
        answered += line.total.answered;
        for (const auto& [code, count] : line.refusals)
            requests += count;
    }
    replay::Collector collector(simulation, deployment, from, from + 2s);
    LONGS_EQUAL(simulation.requests.size(), requests);
    LONGS_EQUAL(collector.outcome().answered, answered);
    CHECK(answered > 300 && requests > answered);
}
