#include "replay/Session.h"

#include <algorithm>
#include <cstdio>

namespace papayabend::replay {

namespace {

    struct Printer {
        std::string output;
        std::map<std::string, uint64_t> counters;

        void line(const Simulation& simulation, std::string_view place, const std::string& text)
        {
            auto time = (simulation.now - startTime).count();
            char buf[32];
            std::snprintf(buf, sizeof buf, "%9.3f ", static_cast<double>(time) / 1000);
            output += buf;
            output += place;
            output += ' ';
            output += text;
            output += '\n';
        }
    };

    std::string describeAnswer(const query::SearchAnswer& answer)
    {
        auto text = "snapshot " + std::to_string(answer.snapshot) + ", " + std::to_string(answer.coverage.unitsSearched)
            + " of " + std::to_string(answer.coverage.unitsTotal) + " units, " + std::to_string(answer.hits.size())
            + " hits";
        for (const auto& it : answer.coverage.missing)
            text += ", missing " + it.shard + " (" + it.reason + ")";
        return text;
    }

    std::string describeTarget(const Simulation& simulation, const routing::Attempt& attempt)
    {
        auto it = simulation.upstreamsByAddress.find(attempt.address);
        auto target = attempt.shard.empty() ? attempt.service : attempt.shard + "@" + std::to_string(attempt.snapshot);
        return attempt.body + " " + target + " at "
            + (it == simulation.upstreamsByAddress.end() ? attempt.address : simulation.upstreams[it->second].name);
    }

    // A process that takes a table with a lower number than it had in force breaks guarantee G8.
    void countReverts(Printer& printer, const Host& host, std::map<std::string, uint64_t>& versions)
    {
        auto& version = versions[host.name + "/" + std::to_string(host.incarnation)];
        auto present = host.engine->table()->version;
        printer.counters["tableReverts"] += present < version;
        version = present;
    }

    void record(Simulation& simulation, Printer& printer)
    {
        auto& recorder = simulation.recorder;
        auto hostName = [](const Simulation& it, const Request& request) { return it.hosts[request.host].name; };
        recorder.answered
            = [&, hostName](const Simulation& it, const Request& request, const query::SearchAnswer& answer) {
                  bool isComplete = query::isComplete(answer.coverage);
                  ++printer.counters["answered"];
                  ++printer.counters[isComplete ? "complete" : "partial"];
                  printer.line(it, hostName(it, request),
                      (isComplete ? "answer " : "partial answer ") + request.body + ": " + describeAnswer(answer));
              };
        recorder.executed
            = [&, hostName](const Simulation& it, const Request& request, const execution::ExecutionAnswer& answer) {
                  ++printer.counters["executed"];
                  printer.line(it, hostName(it, request), "executed " + request.body + ": " + answer.body);
              };
        recorder.outcomeTold
            = [&, hostName](const Simulation& it, const Request& request, const execution::OutcomeAnswer& answer) {
                  auto verdict = answer.verdict ? std::string(base::toString(*answer.verdict)) : "open";
                  ++printer.counters["outcome." + verdict];
                  printer.line(it, hostName(it, request), "outcome " + request.body + ": " + verdict);
              };
        recorder.refused = [&, hostName](const Simulation& it, const Request& request, const base::Refusal& refusal) {
            ++printer.counters["refused"];
            ++printer.counters["refused." + std::string(base::toString(refusal.code))];
            ++printer.counters["refused." + std::string(base::toString(refusal.verdict))];
            printer.line(it, hostName(it, request),
                "refusal " + request.body + ": " + std::string(base::toString(refusal.code)) + ", "
                    + std::string(base::toString(refusal.verdict)) + ", " + refusal.detail);
        };
        recorder.reset = [&, hostName](const Simulation& it, const Request& request) {
            ++printer.counters["reset"];
            printer.line(it, hostName(it, request), "reset " + request.body);
        };
        recorder.attemptSent = [&](const Simulation& it, const Host& host, const routing::Attempt& attempt) {
            ++printer.counters["attempts"];
            printer.line(it, host.name, "attempt " + describeTarget(it, attempt));
        };
        recorder.attemptEnded = [&](const Simulation& it, const Host& host, const routing::Attempt& attempt,
                                    const routing::AttemptResult& result) {
            ++printer.counters["ended." + std::string(routing::toString(result.status))];
            printer.line(it, host.name,
                "ended " + describeTarget(it, attempt) + ": " + std::string(routing::toString(result.status)));
        };
        recorder.stateChanged = [&, versions = std::map<std::string, uint64_t>()](
                                    const Simulation& it, const Host& host, const engine::StateChange& change) mutable {
            ++printer.counters["stateChanges"];
            countReverts(printer, host, versions);
            printer.line(it, host.name, "state " + change.component + ": " + change.text);
        };
        recorder.violated = [&](const Simulation& it, std::string_view text) {
            printer.line(it, "-", "VIOLATION " + std::string(text));
        };
    }

}

SessionResult runSession(Session& session)
{
    auto& simulation = *session.simulation;
    Printer printer;
    record(simulation, printer);
    run(simulation, session.until);
    checkNoSilentLoss(simulation);
    simulation.recorder = {};
    for (const auto& upstream : simulation.upstreams) {
        printer.counters["crashes"] += upstream.crashes;
        printer.counters["shed"] += upstream.callsShed;
        printer.counters["started." + upstream.name] = upstream.callsStarted;
    }
    printer.counters["bodiesRun"] = simulation.executions.size();
    uint64_t lowest = UINT64_MAX;
    for (const auto& host : simulation.hosts) {
        if (host.engine)
            lowest = std::min(lowest, host.engine->table()->version);
    }
    printer.counters["tableLowest"] = lowest;
    printer.counters["platformReads"] = simulation.platform.reads;
    SessionResult result { std::move(printer.output), std::move(simulation.violationTexts) };
    for (const auto& [name, bounds] : session.required) {
        auto value = printer.counters[name];
        if (value < bounds.first || value > bounds.second)
            result.failures.push_back(name + " is " + std::to_string(value) + ", required "
                + std::to_string(bounds.first) + " to " + std::to_string(bounds.second));
    }
    return result;
}

}
