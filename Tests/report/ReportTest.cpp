#include "papayabend/report/BurnRecorder.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

namespace {

report::Report reportOf(std::string host, int count)
{
    report::BurnRecorder recorder;
    base::TimePoint now { 1000s };
    recorder.tick(now);
    for (int n = 0; n < count; ++n)
        recorder.record({ "<a>", "s", n < count / 2 ? 10ms : 100ms, std::nullopt, 1, 21, 20 });
    return recorder.report(std::move(host), now + 10s, [](auto, auto) { return 40.0; });
}

}

TEST_GROUP(Report) {};

// Guards against a merged report that counts a host twice or adds up the grant over the hosts.
TEST(Report, MergedReportAddsHostsOnce)
{
    std::vector<report::Report> reports { reportOf("h1", 100), reportOf("h2", 300), reportOf("h1", 100) };
    auto merged = report::mergeReports(reports);
    LONGS_EQUAL(2, merged.hosts.size());
    LONGS_EQUAL(400, merged.lines.at(0).total.requests);
    DOUBLES_EQUAL(40, merged.lines.at(0).granted, 0);
    DOUBLES_EQUAL(40, report::received(merged.lines.at(0)), 1e-9);
}

// Guards against figures that change when a report is rendered as JSON and parsed.
TEST(Report, JsonKeepsEveryFigure)
{
    base::LastReason reason;
    auto text = report::renderJson(reportOf("h1", 100));
    auto parsed = report::parseReport(text, reason);
    CHECK(parsed.has_value());
    STRCMP_EQUAL(text.c_str(), report::renderJson(*parsed).c_str());
    CHECK_FALSE(report::parseReport(text.substr(0, text.size() / 2), reason).has_value());
}

// Guards against latency quantiles that are reported below the latency that callers observed.
TEST(Report, QuantilesAreNotBelowTheTrueLatency)
{
    auto line = reportOf("h1", 100).lines.at(0);
    CHECK(report::latencyQuantile(line, 0.5) >= 10ms && report::latencyQuantile(line, 0.5) <= 11ms);
    CHECK(report::latencyQuantile(line, 0.99) >= 100ms && report::latencyQuantile(line, 0.99) <= 110ms);
    for (auto latency : { 0us, 999us, 1001us, 93'000us, 3'600'000'000us })
        CHECK(report::latencyBucket(latency) < report::latencyBuckets);
}

// Guards against an unescaped label that makes the whole metrics page invalid, so that no alert fires.
TEST(Report, MetricsEscapeLabels)
{
    auto report = reportOf("h1", 10);
    report.lines[0].account = "a\"b";
    auto text = report::renderMetrics(report);
    CHECK(text.find("papayabend_slo_answers_total{account=\"a\\\"b\",service=\"s\"} 10\n") != std::string::npos);
}

// Guards against an account name that an operator's browser interprets as markup.
TEST(Report, HtmlEscapesNames)
{
    auto html = report::renderHtml(reportOf("h1", 10));
    CHECK(html.find("<a>") == std::string::npos);
    CHECK(html.find("&lt;a&gt;") != std::string::npos);
    CHECK(html.find("http://www.w3.org/2000/svg") != std::string::npos);
}
