#include "papayabend/report/BurnRecorder.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(Report) { static report::Report reportOf(std::string host, int count) { report::BurnRecorder recorder;
base::TimePoint now { 1000s };
recorder.tick(now);
for (int n = 0; n < count; ++n)
    recorder.record({ "<a>", "s", n < count / 2 ? 10ms : 100ms, std::nullopt, 1, 21, 20 });
return recorder.report(std::move(host), now + 10s, [](auto, auto) { return 40.0; });
}
}
;

// Guards against a fleet report that counts a host twice or a grant once for each host.
TEST(Report, MergedReportAddsHostsOnce)
{
    std::vector<report::Report> reports { reportOf("h1", 100), reportOf("h2", 300), reportOf("h1", 100) };
    auto merged = report::mergeReports(reports);
    LONGS_EQUAL(2, merged.hosts.size());
    LONGS_EQUAL(400, merged.lines.at(0).total.requests);
    DOUBLES_EQUAL(40, merged.lines.at(0).granted, 0);
    DOUBLES_EQUAL(40, report::received(merged.lines.at(0)), 1e-9);
}

// Guards against figures that change on the way from a host to the merged report.
TEST(Report, JsonKeepsEveryFigure)
{
    base::LastReason reason;
    auto text = report::renderJson(reportOf("h1", 100));
    auto parsed = report::parseReport(text, reason);
    CHECK(parsed.has_value());
    STRCMP_EQUAL(text.c_str(), report::renderJson(*parsed).c_str());
    CHECK_FALSE(report::parseReport(text.substr(0, text.size() / 2), reason).has_value());
}

// Guards against a tail that is reported below the latency callers saw.
TEST(Report, QuantilesAreNotBelowTheTrueLatency)
{
    auto line = reportOf("h1", 100).lines.at(0);
    CHECK(report::latencyQuantile(line, 0.5) >= 10ms && report::latencyQuantile(line, 0.5) <= 11ms);
    CHECK(report::latencyQuantile(line, 0.99) >= 100ms && report::latencyQuantile(line, 0.99) <= 110ms);
    for (auto latency : { 0us, 999us, 1001us, 93'000us, 3'600'000'000us })
        CHECK(report::latencyBucket(latency) < report::latencyBuckets);
}

// Guards against an account name that runs as markup in an operator's browser.
TEST(Report, HtmlEscapesNames)
{
    auto html = report::renderHtml(reportOf("h1", 10));
    CHECK(html.find("<a>") == std::string::npos);
    CHECK(html.find("&lt;a&gt;") != std::string::npos);
    CHECK(html.find("http://www.w3.org/2000/svg") != std::string::npos);
}
