#pragma once

#include "papayabend/report/SvgPlot.h"
#include "replay/Deployment.h"
#include "replay/Load.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace papayabend::replay {

/** \struct MeasureOptions
 * \brief Options that all scenarios take from the command line.
 */
struct MeasureOptions {
    uint64_t seed { 1 };
    uint64_t requests { 100'000 }; /**< Per policy and deployment. */
    std::string outputFolder; /**< CSV and SVG files; empty: none. */
    uint32_t threads { 3 }; /**< Replays that run at the same time. */
};

/** \struct Figures
 * \brief Table that a scenario prints and writes as CSV.
 */
struct Figures {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
    std::vector<report::Plot> plots;
    uint64_t violations { 0 };
    std::vector<std::string> violationTexts;
};

/** \struct Scenario
 * \brief One measurement. A new one is a function in a file of its own and a line in Scenario.cpp.
 */
struct Scenario {
    std::string name;
    std::string description;
    std::function<Figures(const MeasureOptions&)> run;
};

/** Returns all scenarios in the order in which "all" runs them. */
const std::vector<Scenario>& scenarios();

/** \struct Policy
 * \brief Engine settings under comparison.
 */
struct Policy {
    std::string name;
    std::function<std::unique_ptr<engine::Engine>(const Simulation&, const Host&)> makeEngine;
};

/** Returns the plain baseline and the defaults, then single functions switched off. */
std::vector<Policy> policies();

/** Calls \a task for 0 to \a count - 1, at most options.threads at a time. */
void runParallel(const MeasureOptions&, size_t count, const std::function<void(size_t)>& task);

/** Adds the simulation's failed checks to the figures. */
void addViolations(Figures&, const Simulation&);

std::string formatNumber(double value, int digits);
std::string formatShare(uint64_t part, uint64_t whole);

Figures measureTail(const MeasureOptions&);
Figures measureReplicaLoss(const MeasureOptions&);
Figures measureGoodput(const MeasureOptions&);
Figures measureControlCost(const MeasureOptions&);
Figures measureControlSpread(const MeasureOptions&);
Figures measureControlRestart(const MeasureOptions&);
Figures measureControlOutage(const MeasureOptions&);
Figures measureControlValues(const MeasureOptions&);
Figures measureExecutions(const MeasureOptions&);
Figures measureShares(const MeasureOptions&);
Figures measureLimits(const MeasureOptions&);
Figures measureSearchFaults(const MeasureOptions&);
Figures measureExecutionFaults(const MeasureOptions&);

}
