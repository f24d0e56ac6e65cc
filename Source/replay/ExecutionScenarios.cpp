#include "replay/ExecutionFleet.h"
#include "replay/Scenario.h"

#include <algorithm>
#include <iterator>

namespace papayabend::replay {

namespace {

    struct FaultCase {
        std::string name;
        FleetFaults faults;
        bool isRolling { false };
    };

    std::vector<FaultCase> faultCases()
    {
        return {
            { "none", {} },
            { "host death", { .hostDeath = true } },
            { "pause", { .pause = true } },
            { "partition", { .partition = true } },
            { "resends", { .resends = true } },
            { "late answers", { .lateAnswers = true } },
            { "planned stops", { .plannedStops = true } },
            { "rolling replacement", { .resends = true }, true },
            { "upstream crashes", { .upstreamCrashes = true } },
            { "all together", { true, true, true, true, true, true, true } },
        };
    }

}

Figures measureExecutions(const MeasureOptions& options)
{
    auto cases = faultCases();
    std::vector<FleetResult> results(cases.size());
    runParallel(options, cases.size(), [&](size_t n) {
        FleetOptions fleet;
        fleet.seed = options.seed + n;
        fleet.requests = options.requests / cases.size();
        fleet.faults = cases[n].faults;
        fleet.isRolling = cases[n].isRolling;
        results[n] = ExecutionFleet(fleet).run();
    });
    Figures figures;
    figures.columns = { "fault", "requests", "faults", "answered", "not run", "no ticket", "unknown", "of these ran",
        "call lost", "host lost", "unknown share", "resets", "forwards", "stops", "cut by stop", "failed checks" };
    for (size_t n = 0; n < cases.size(); ++n) {
        const auto& it = results[n];
        std::vector<std::string> row { cases[n].name };
        for (auto number : { it.requests, it.faults, it.answered, it.notRun, it.noTicket, it.unknown, it.unknownRan,
                 it.unknownLostCall, it.unknownLostHost })
            row.push_back(std::to_string(number));
        row.push_back(formatShare(it.unknown, it.requests));
        for (auto number : { it.resets, it.forwards, it.stops, it.cutByStop, it.violations })
            row.push_back(std::to_string(number));
        figures.rows.push_back(std::move(row));
        figures.violations += it.violations;
        std::ranges::copy(it.violationTexts, std::back_inserter(figures.violationTexts));
    }
    return figures;
}

}
