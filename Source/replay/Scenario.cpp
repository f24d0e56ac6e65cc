#include "replay/Scenario.h"

#include "replay/ScriptedQueries.h"

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

namespace papayabend::replay {

const std::vector<Scenario>& scenarios()
{
    static const std::vector<Scenario> all {
        { "tail", "latency, coverage and extra attempts with stragglers, both deployments", measureTail },
        { "replica-loss", "complete answers with one replica of every shard lost", measureReplicaLoss },
        { "goodput", "complete answers in time at 0.5, 1, 2 and 3 times capacity", measureGoodput },
        { "scripted-queries", "searches with faults at any moment, together and twice; every answer is checked",
            measureScriptedQueries },
        { "control-cost", "control traffic and processor time of a host against fleet size", measureControlCost },
        { "control-spread", "time until a table change is in force on all hosts", measureControlSpread },
        { "control-restart", "platform reads and recovery when all hosts or one host start empty",
            measureControlRestart },
        { "control-outage", "platform reads after an outage of the platform and a healed partition",
            measureControlOutage },
        { "control-values", "memory of a host and processor time of a change at the largest values",
            measureControlValues },
        { "executions", "non-idempotent requests at several hosts under faults, alone and together",
            measureExecutions },
        { "shares", "requests passed for each account over its grant, several hosts", measureShares },
        { "limits", "requests passed for an account with a limit, several hosts", measureLimits },
        { "search-faults", "mixed snapshots, overstated coverage, wrong callers with faults", measureSearchFaults },
        { "execution-faults", "duplicates, losses and unknown outcomes with faults", measureExecutionFaults },
    };
    return all;
}

void runParallel(const MeasureOptions& options, size_t count, const std::function<void(size_t)>& task)
{
    std::atomic<size_t> next { 0 };
    std::vector<std::jthread> threads;
    for (size_t n = 0; n < std::min<size_t>(options.threads, count); ++n) {
        threads.emplace_back([&] {
            for (size_t i = next++; i < count; i = next++)
                task(i);
        });
    }
}

void addViolations(Figures& figures, const Simulation& simulation)
{
    static std::mutex mutex;
    std::scoped_lock lock(mutex);
    figures.violations += simulation.violations;
    figures.violationTexts.insert(
        figures.violationTexts.end(), simulation.violationTexts.begin(), simulation.violationTexts.end());
}

std::string formatNumber(double value, int digits)
{
    char buf[48];
    std::snprintf(buf, sizeof buf, "%.*f", digits, value);
    return buf;
}

std::string formatShare(uint64_t part, uint64_t whole)
{
    return formatNumber(whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole), 5);
}

}
