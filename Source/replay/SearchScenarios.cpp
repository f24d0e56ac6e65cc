#include "replay/Scenario.h"

#include <cmath>
#include <iterator>

namespace papayabend::replay {

namespace {

    // Searches run at this share of the capacity unless the scenario varies it.
    constexpr double usualLoad = 0.4;
    constexpr auto drainTime = std::chrono::seconds(3);

    struct SearchRun {
        Deployment deployment;
        Policy policy;
        double load { usualLoad };
        double requests { 0 };
        bool losesReplicas { false };
        Outcome outcome;
    };

    void addStragglers(Deployment& deployment)
    {
        for (auto& shape : deployment.services)
            shape.serviceTime.stragglerShare = 0.01;
    }

    /** Loads every sharded service at the given share of its capacity. */
    std::vector<Stream> searchStreams(const Deployment& deployment, double load)
    {
        std::vector<Stream> streams;
        for (const auto& shape : deployment.services) {
            if (shape.shards == 0)
                continue;
            Stream stream;
            stream.account = deployment.account;
            stream.service = shape.name;
            stream.requestsPerSecond = load * capacityOf(shape);
            stream.prefix = shape.name.substr(0, 1);
            streams.push_back(std::move(stream));
        }
        return streams;
    }

    void loseReplicas(Simulation& simulation, const Deployment& deployment)
    {
        for (const auto& shape : deployment.services) {
            for (uint32_t shard = 0; shard < shape.shards; ++shard)
                killUpstream(simulation, upstreamIndex(simulation, upstreamName(shape, shard, shard % 2)));
        }
    }

    void runSearches(SearchRun& it, const MeasureOptions& options, Figures& figures)
    {
        Simulation simulation;
        simulation.seed = options.seed;
        simulation.makeEngine = it.policy.makeEngine;
        setUp(simulation, it.deployment);
        auto streams = searchStreams(it.deployment, it.load);
        double rate = 0;
        for (const auto& stream : streams)
            rate += stream.requestsPerSecond;
        auto window = Duration(static_cast<Duration::rep>(it.requests / rate * 1e6));
        // The first tenth warms up connections and latency estimates.
        auto from = simulation.now + window / 10;
        auto until = from + window;
        setArrivals(simulation, std::move(streams), until);
        if (it.losesReplicas)
            at(simulation, from + window / 2, [&](Simulation& later) { loseReplicas(later, it.deployment); });
        run(simulation, until + drainTime);
        checkNoSilentLoss(simulation);
        it.outcome = Collector(simulation, it.deployment, from, until).outcome();
        addViolations(figures, simulation);
    }

    void runAll(std::vector<SearchRun>& runs, const MeasureOptions& options, Figures& figures)
    {
        runParallel(options, runs.size(), [&](size_t n) { runSearches(runs[n], options, figures); });
    }

    std::string milliseconds(std::vector<uint32_t>& latencies, double share)
    {
        return formatNumber(quantile(latencies, share) / 1000, 2);
    }

    std::vector<std::string> rowOf(SearchRun& it)
    {
        auto& outcome = it.outcome;
        auto answered = static_cast<double>(outcome.answered);
        return { it.deployment.name, it.policy.name, formatNumber(it.load, 2), std::to_string(outcome.requests),
            milliseconds(outcome.latencies, 0.5), milliseconds(outcome.latencies, 0.99),
            milliseconds(outcome.latencies, 0.999), formatShare(outcome.complete, outcome.requests),
            formatNumber(answered > 0 ? outcome.coverage / answered : 0, 5),
            formatShare(outcome.callsSent, outcome.callsNeeded), std::to_string(outcome.refused) };
    }

    const std::vector<std::string> searchColumns { "deployment", "policy", "load", "requests", "p50 ms", "p99 ms",
        "p99.9 ms", "complete", "coverage", "attempts/needed", "refused" };

    report::Plot latencyPlot(const std::string& deployment, std::vector<SearchRun>& runs)
    {
        report::Plot plot { "Latency of searches, " + deployment, "quantile in percent", "ms", {} };
        for (auto& it : runs) {
            if (it.deployment.name != deployment)
                continue;
            report::Series series { it.policy.name, {} };
            for (double percent = 1; percent <= 99.9; percent += percent < 99 ? 1 : 0.1)
                series.points.emplace_back(percent, quantile(it.outcome.latencies, percent / 100) / 1000);
            plot.series.push_back(std::move(series));
        }
        return plot;
    }

    Figures measureLatency(const MeasureOptions& options, bool losesReplicas, double load)
    {
        Figures figures { searchColumns, {}, {}, 0, {} };
        std::vector<SearchRun> runs;
        for (auto deployment : { muscat(), sul() }) {
            if (!losesReplicas)
                addStragglers(deployment);
            for (const auto& policy : policies())
                runs.push_back({ deployment, policy, load, static_cast<double>(options.requests), losesReplicas, {} });
        }
        runAll(runs, options, figures);
        for (auto& it : runs)
            figures.rows.push_back(rowOf(it));
        figures.plots = { latencyPlot("muscat", runs), latencyPlot("sul", runs) };
        return figures;
    }

}

Figures measureTail(const MeasureOptions& options) { return measureLatency(options, false, usualLoad); }

// 0.35 of the capacity with all replicas is 0.7 of that of the remaining ones.
Figures measureReplicaLoss(const MeasureOptions& options) { return measureLatency(options, true, 0.35); }

Figures measureGoodput(const MeasureOptions& options)
{
    Figures figures { { "deployment", "policy", "times capacity", "requests", "goodput/s", "goodput/capacity", "p99 ms",
                          "complete", "attempts/needed", "refused" },
        {}, {}, 0, {} };
    constexpr double loads[] { 0.5, 1, 2, 3 };
    std::vector<SearchRun> runs;
    for (const auto& deployment : { muscat(), sul() }) {
        for (const auto& policy : policies()) {
            for (double load : loads)
                runs.push_back(
                    { deployment, policy, load, load / 3 * static_cast<double>(options.requests), false, {} });
        }
    }
    runAll(runs, options, figures);
    for (auto& it : runs) {
        double capacity = 0;
        for (const auto& stream : searchStreams(it.deployment, 1))
            capacity += stream.requestsPerSecond;
        auto goodput
            = static_cast<double>(it.outcome.complete) / (static_cast<double>(it.outcome.window.count()) / 1e6);
        figures.rows.push_back({ it.deployment.name, it.policy.name, formatNumber(it.load, 1),
            std::to_string(it.outcome.requests), formatNumber(goodput, 1), formatNumber(goodput / capacity, 3),
            milliseconds(it.outcome.latencies, 0.99), formatShare(it.outcome.complete, it.outcome.requests),
            formatShare(it.outcome.callsSent, it.outcome.callsNeeded), std::to_string(it.outcome.refused) });
        if (it.load == loads[0]) {
            if (figures.plots.empty() || !figures.plots.back().title.ends_with(it.deployment.name))
                figures.plots.push_back(
                    { "Goodput, " + it.deployment.name, "load / capacity", "goodput / capacity", {} });
            figures.plots.back().series.push_back({ it.policy.name, { { 0, 0 } } });
        }
        figures.plots.back().series.back().points.emplace_back(it.load, goodput / capacity);
    }
    return figures;
}

}
