#include "papayabend/report/Report.h"

#include <cstdio>
#include <functional>

namespace papayabend::report {

namespace {

    std::string escapeLabel(std::string_view text)
    {
        std::string out;
        for (char c : text) {
            if (c == '\\' || c == '"')
                out += '\\';
            out += c == '\n' ? ' ' : c;
        }
        return out;
    }

    std::string labels(const Line& line)
    {
        return "{account=\"" + escapeLabel(line.account) + "\",service=\"" + escapeLabel(line.service) + "\"}";
    }

    void addFamily(std::string& out, std::string_view name, std::string_view type, std::string_view help)
    {
        out += "# HELP " + std::string(name) + " " + std::string(help) + "\n# TYPE " + std::string(name) + " "
            + std::string(type) + "\n";
    }

    void addCounter(std::string& out, const Report& report, const std::string& name, std::string_view help,
        const std::function<uint64_t(const Line&)>& value)
    {
        addFamily(out, name, "counter", help);
        for (const auto& line : report.lines)
            out += name + labels(line) + " " + std::to_string(value(line)) + "\n";
    }

    void addObjectives(std::string& out, const Report& report)
    {
        constexpr std::string_view name = "papayabend_slo_objective";
        addFamily(out, name, "gauge", "Share that the objective of a service demands");
        for (const auto& line : fleetLines(report)) {
            auto add = [&](std::string_view kind, double target) {
                if (target <= 0)
                    return;
                char buf[32];
                std::snprintf(buf, sizeof buf, "%.9g", target);
                out += std::string(name) + "{kind=\"" + std::string(kind) + "\",service=\"" + escapeLabel(line.service)
                    + "\"} " + buf + "\n";
            };
            add("availability", line.objective.availability);
            add("latency", line.objective.latencyTarget);
            add("coverage", line.objective.coverage);
        }
    }

}

std::string renderMetrics(const Report& report)
{
    std::string out;
    addCounter(out, report, "papayabend_slo_requests_total", "Requests that count for the availability objective",
        [](const Line& line) { return line.total.requests; });
    addCounter(out, report, "papayabend_slo_failed_total", "Requests that spent availability budget",
        [](const Line& line) { return line.total.failed; });
    addCounter(
        out, report, "papayabend_slo_answers_total", "Answers", [](const Line& line) { return line.total.answered; });
    addCounter(out, report, "papayabend_slo_late_total", "Answers above the latency objective",
        [](const Line& line) { return line.total.late; });
    addCounter(out, report, "papayabend_slo_incomplete_total", "Answers with missing shards",
        [](const Line& line) { return line.total.incomplete; });
    addCounter(out, report, "papayabend_slo_attempts_total", "Calls to upstreams for answers",
        [](const Line& line) { return line.attempts; });
    addCounter(out, report, "papayabend_slo_needed_attempts_total", "Calls that answers needed at least",
        [](const Line& line) { return line.neededAttempts; });
    addObjectives(out, report);
    return out;
}

}
