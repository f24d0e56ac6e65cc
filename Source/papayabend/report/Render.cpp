#include "papayabend/report/Report.h"
#include "papayabend/report/SvgPlot.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace papayabend::report {

namespace {

    using Json = nlohmann::json;

    constexpr size_t shownRefusals = 3;

    std::string number(double value, int digits)
    {
        char buf[48];
        std::snprintf(buf, sizeof buf, "%.*f", digits, value);
        return buf;
    }

    std::string milliseconds(base::Duration duration)
    {
        return number(static_cast<double>(duration.count()) / 1000, 1);
    }

    // Burn rates of availability, latency and coverage, "-" for an objective that is not set.
    std::string burnText(const Line& line, size_t window)
    {
        auto rates = burnRates(line.windows[window].counts, line.objective);
        auto part = [](double target, double rate) { return target > 0 ? number(rate, 1) : std::string("-"); };
        return part(line.objective.availability, rates.availability) + "/"
            + part(line.objective.latencyTarget, rates.latency) + "/" + part(line.objective.coverage, rates.coverage);
    }

    const std::vector<std::string> columns { "account", "service", "requests", "burn 5m", "burn 1h", "burn 6h",
        "burn 3d", "p50 ms", "p99 ms", "p99.9 ms", "coverage", "attempts", "granted/s", "received/s", "refusals" };

    std::vector<std::string> cellsOf(const Line& line)
    {
        std::vector<std::string> cells { line.account, line.service, std::to_string(line.total.requests) };
        for (size_t n = 0; n < burnWindows.size(); ++n)
            cells.push_back(burnText(line, n));
        for (double share : { 0.5, 0.99, 0.999 })
            cells.push_back(milliseconds(latencyQuantile(line, share)));
        cells.push_back(number(meanCoverage(line), 5));
        cells.push_back(number(extraLoad(line), 3));
        cells.push_back(line.granted > 0 ? number(line.granted, 1) : "-");
        cells.push_back(number(received(line), 1));
        std::string refusals;
        for (const auto& [code, count] : topRefusals(line, shownRefusals))
            refusals += (refusals.empty() ? "" : ", ") + code + " " + std::to_string(count);
        cells.push_back(refusals.empty() ? "-" : refusals);
        return cells;
    }

    // Returns the lines of the fleet, followed by those of the client accounts.
    std::vector<Line> allLines(const Report& report)
    {
        auto lines = fleetLines(report);
        lines.insert(lines.end(), report.lines.begin(), report.lines.end());
        return lines;
    }

    std::string title(const Report& report)
    {
        return std::to_string(report.hosts.size()) + (report.hosts.size() == 1 ? " host" : " hosts")
            + ", table version " + std::to_string(report.tableVersion)
            + "; burn rates of availability/latency/coverage";
    }

    Json countsJson(const Counts& counts)
    {
        return { { "requests", counts.requests }, { "answered", counts.answered }, { "failed", counts.failed },
            { "late", counts.late }, { "incomplete", counts.incomplete } };
    }

    Counts countsFrom(const Json& json)
    {
        return { json.at("requests").get<uint64_t>(), json.at("answered").get<uint64_t>(),
            json.at("failed").get<uint64_t>(), json.at("late").get<uint64_t>(), json.at("incomplete").get<uint64_t>() };
    }

    Json lineJson(const Line& line)
    {
        Json windowsJson = Json::object();
        for (size_t n = 0; n < burnWindows.size(); ++n) {
            auto rates = burnRates(line.windows[n].counts, line.objective);
            auto json = countsJson(line.windows[n].counts);
            json["observedUs"] = line.windows[n].observed.count();
            json["burn"] = { { "availability", rates.availability }, { "latency", rates.latency },
                { "coverage", rates.coverage } };
            windowsJson[std::string(burnWindowNames[n])] = std::move(json);
        }
        return { { "account", line.account }, { "service", line.service },
            { "objective",
                { { "latencyUs", line.objective.latency.count() }, { "latencyTarget", line.objective.latencyTarget },
                    { "coverage", line.objective.coverage }, { "availability", line.objective.availability } } },
            { "windows", std::move(windowsJson) }, { "total", countsJson(line.total) },
            { "latencyBuckets", line.latencies }, { "p50Us", latencyQuantile(line, 0.5).count() },
            { "p99Us", latencyQuantile(line, 0.99).count() }, { "p999Us", latencyQuantile(line, 0.999).count() },
            { "coverageSum", line.coverageSum }, { "meanCoverage", meanCoverage(line) }, { "attempts", line.attempts },
            { "neededAttempts", line.neededAttempts }, { "granted", line.granted }, { "received", received(line) },
            { "refusals", line.refusals } };
    }

    Line lineFrom(const Json& json)
    {
        Line line;
        line.account = json.at("account").get<std::string>();
        line.service = json.at("service").get<std::string>();
        const auto& objective = json.at("objective");
        line.objective = { line.service, base::Duration(objective.at("latencyUs").get<int64_t>()),
            objective.at("latencyTarget").get<double>(), objective.at("coverage").get<double>(),
            objective.at("availability").get<double>() };
        for (size_t n = 0; n < burnWindows.size(); ++n) {
            const auto& window = json.at("windows").at(std::string(burnWindowNames[n]));
            line.windows[n] = { countsFrom(window), base::Duration(window.at("observedUs").get<int64_t>()) };
        }
        line.total = countsFrom(json.at("total"));
        line.latencies = json.at("latencyBuckets").get<std::array<uint64_t, latencyBuckets>>();
        line.coverageSum = json.at("coverageSum").get<double>();
        line.attempts = json.at("attempts").get<uint64_t>();
        line.neededAttempts = json.at("neededAttempts").get<uint64_t>();
        line.refusals = json.at("refusals").get<std::map<std::string, uint64_t>>();
        line.granted = json.at("granted").get<double>();
        return line;
    }

    std::string latencyPlot(const std::vector<Line>& lines)
    {
        Plot plot { "Latency of answers", "quantile in percent", "ms", {} };
        for (const auto& line : lines) {
            Series series { line.service, {} };
            for (int percent = 1; percent <= 99; ++percent)
                series.points.emplace_back(
                    percent, static_cast<double>(latencyQuantile(line, percent / 100.0).count()) / 1000);
            plot.series.push_back(std::move(series));
        }
        return renderSvg(plot);
    }

    std::string burnPlot(const std::vector<Line>& lines)
    {
        Plot plot { "Highest burn rate by window (1: 5m, 2: 1h, 3: 6h, 4: 3d)", "window", "burn rate", {} };
        for (const auto& line : lines) {
            Series series { line.service, {} };
            for (size_t n = 0; n < burnWindows.size(); ++n) {
                auto rates = burnRates(line.windows[n].counts, line.objective);
                series.points.emplace_back(
                    static_cast<double>(n + 1), std::max({ rates.availability, rates.latency, rates.coverage }));
            }
            plot.series.push_back(std::move(series));
        }
        return renderSvg(plot);
    }

}

std::string renderTerminal(const Report& report)
{
    std::vector<std::vector<std::string>> rows { columns };
    for (const auto& line : allLines(report))
        rows.push_back(cellsOf(line));
    std::vector<size_t> widths(columns.size(), 0);
    for (const auto& row : rows) {
        for (size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    auto out = title(report) + "\n";
    for (const auto& row : rows) {
        std::string text;
        for (size_t n = 0; n < row.size(); ++n)
            text += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        out += text.substr(0, text.find_last_not_of(' ') + 1) + "\n";
    }
    return out;
}

std::string renderJson(const Report& report)
{
    Json json { { "hosts", report.hosts }, { "tableVersion", report.tableVersion }, { "fleet", Json::array() },
        { "lines", Json::array() } };
    for (const auto& line : fleetLines(report))
        json["fleet"].push_back(lineJson(line));
    for (const auto& line : report.lines)
        json["lines"].push_back(lineJson(line));
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Report> parseReport(std::string_view text, base::LastReason& reason)
{
    try {
        auto json = Json::parse(text);
        Report report { json.at("hosts").get<std::vector<std::string>>(), json.at("tableVersion").get<uint64_t>(), {} };
        for (const auto& line : json.at("lines"))
            report.lines.push_back(lineFrom(line));
        return report;
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string("report is not valid: ") + error.what());
    }
}

std::string renderHtml(const Report& report)
{
    std::string out = "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>Service-level "
                      "burn</title>\n<style>\nbody { font-family: sans-serif; }\ntable { border-collapse: collapse; "
                      "}\ntd, th { border: 1px solid #cccccc; padding: 2px 6px; }\n</style>\n</head>\n<body>\n"
                      "<h1>Service-level burn</h1>\n<p>";
    out += escapeMarkup(title(report)) + ".</p>\n<table>\n<tr>";
    for (const auto& column : columns)
        out += "<th>" + escapeMarkup(column) + "</th>";
    out += "</tr>\n";
    for (const auto& line : allLines(report)) {
        out += "<tr>";
        for (const auto& cell : cellsOf(line))
            out += "<td>" + escapeMarkup(cell) + "</td>";
        out += "</tr>\n";
    }
    out += "</table>\n";
    auto fleet = fleetLines(report);
    out += latencyPlot(fleet) + burnPlot(fleet);
    return out + "</body>\n</html>\n";
}

}
