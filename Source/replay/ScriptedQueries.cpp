#include "replay/ScriptedQueries.h"

#include "papayabend/base/Random.h"
#include "replay/Internal.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace papayabend::replay {

namespace {

    using Json = nlohmann::json;

    constexpr uint64_t queriesPerSimulation = 25'000;
    constexpr double injectedShare = 0.002;
    constexpr auto faultPeriod = std::chrono::milliseconds(150);

    struct Script {
        Simulation simulation;
        Deployment deployment;
        base::Random random;
        uint64_t snapshot { 1 };
        uint64_t version { 1 };
        bool isInjecting { false };
        ScriptedResult result;

        size_t index(size_t count) { return base::uniformIndex(random, count); }
        Duration upTo(Duration most)
        {
            return Duration(static_cast<Duration::rep>(index(size_t(most.count())))) + Duration(1);
        }
    };

    /** Publishes a snapshot with another number of shards beside the one in force. */
    void repartition(Script& script)
    {
        auto before = Json::parse(catalogText(script.deployment, script.version, script.snapshot));
        for (auto& shape : script.deployment.services) {
            if (shape.shards > 0)
                shape.shards = 10 + static_cast<uint32_t>(script.index(25));
        }
        ++script.version;
        ++script.snapshot;
        auto after = Json::parse(catalogText(script.deployment, script.version, script.snapshot));
        for (auto& upstream : before["upstreams"]) {
            if (std::ranges::find(after["upstreams"], upstream["name"], [](const Json& it) { return it["name"]; })
                == after["upstreams"].end())
                after["upstreams"].push_back(upstream);
        }
        for (size_t n = 0; n < after["services"].size(); ++n) {
            if (after["services"][n].contains("snapshots"))
                after["services"][n]["snapshots"].push_back(before["services"][n]["snapshots"][0]);
        }
        publish(script.simulation, "catalog", after.dump());
    }

    void later(Script& script, Duration delay, std::function<void(Simulation&)> undo)
    {
        at(script.simulation, script.simulation.now + delay, std::move(undo));
    }

    void breakUpstream(Script& script, size_t kind)
    {
        auto& simulation = script.simulation;
        auto n = static_cast<uint32_t>(script.index(simulation.upstreams.size()));
        auto delay = script.upTo(std::chrono::seconds(2));
        switch (kind) {
        case 0:
            killUpstream(simulation, n);
            return later(script, delay, [n](Simulation& it) { restartUpstream(it, n); });
        case 1:
            simulation.upstreams[n].isDraining = true;
            return later(script, delay, [n](Simulation& it) { restartUpstream(it, n); });
        case 2:
            simulation.upstreams[n].isShedding = true;
            return later(script, delay, [n](Simulation& it) { it.upstreams[n].isShedding = false; });
        case 3:
            simulation.upstreams[n].slowdown = 20;
            return later(script, delay, [n](Simulation& it) { it.upstreams[n].slowdown = 1; });
        default:
            const auto& shape = script.deployment.services[script.index(2)];
            dropSnapshot(simulation, n, shape.name, script.index(2) == 0 ? script.snapshot : script.snapshot - 1);
        }
    }

    void breakHost(Script& script, bool isPause)
    {
        auto n = static_cast<uint32_t>(script.index(script.simulation.hosts.size()));
        auto delay = script.upTo(std::chrono::milliseconds(1500));
        // The replay drops requests that a paused host has not read yet when the host dies, without a reset.
        if (script.simulation.hosts[n].isPaused || !script.simulation.hosts[n].engine)
            return;
        if (isPause) {
            pauseHost(script.simulation, n);
            return later(script, delay, [n](Simulation& it) { resumeHost(it, n); });
        }
        killHost(script.simulation, n);
        later(script, delay, [n](Simulation& it) { startHost(it, n); });
    }

    void breakSomething(Script& script)
    {
        ++script.result.faults;
        auto kind = script.index(40);
        if (kind < 30)
            return breakUpstream(script, kind % 5);
        if (kind < 33)
            return breakHost(script, true);
        if (kind < 34)
            return breakHost(script, false);
        if (kind < 37)
            return repartition(script);
        const auto& domains = script.deployment.domains;
        cutDomains(script.simulation, domains[0], domains[1 + script.index(domains.size() - 1)]);
        later(script, script.upTo(std::chrono::milliseconds(500)), [](Simulation& it) { healDomains(it); });
    }

    /** Breaks one to three parts at one moment, and again a short time later. */
    void scheduleFaults(Script& script, TimePoint until)
    {
        auto next = script.simulation.now + script.upTo(2 * faultPeriod);
        if (next >= until)
            return;
        at(script.simulation, next, [&script, until](Simulation&) {
            for (auto count = 1 + script.index(3); count > 0; --count)
                breakSomething(script);
            if (script.index(4) == 0)
                later(script, script.upTo(std::chrono::milliseconds(20)),
                    [&script](Simulation&) { breakSomething(script); });
            scheduleFaults(script, until);
        });
    }

    void deliver(Script& script, uint32_t host, uint64_t incarnation, const routing::AttemptResult& result)
    {
        auto& it = script.simulation.hosts[host];
        if (!it.engine || it.incarnation != incarnation || it.isPaused)
            return;
        ++script.result.injectedResults;
        perform(script.simulation, it, it.engine->attemptFinished(result, script.simulation.now));
    }

    /** Adds results that a faulty upstream or transport might report. */
    void inject(Script& script, const Host& host, const routing::AttemptResult& result)
    {
        if (script.isInjecting || result.status != routing::AttemptStatus::Ran
            || base::uniform(script.random) > injectedShare)
            return;
        script.isInjecting = true;
        auto wrong = result;
        auto n = host.index;
        auto incarnation = host.incarnation;
        switch (script.index(4)) {
        case 0:
            deliver(script, n, incarnation, wrong);
            break;
        case 1:
            later(script, script.upTo(std::chrono::milliseconds(300)),
                [&script, n, incarnation, wrong](Simulation&) { deliver(script, n, incarnation, wrong); });
            break;
        case 2: // Another snapshot under the right number.
            wrong.snapshot += 1;
            deliver(script, n, incarnation, wrong);
            break;
        default: // Another request's answer under the number of an open attempt.
            if (host.calls.empty())
                break;
            const auto& other = script.simulation.calls[host.calls.begin()->second];
            if (other.attempt.shard == wrong.shard)
                break;
            wrong.attempt = other.attempt.id;
            wrong.request = other.attempt.request;
            wrong.upstream = other.attempt.upstream;
            deliver(script, n, incarnation, wrong);
        }
        script.isInjecting = false;
    }

    std::vector<Stream> streamsOf(Script& script, double load)
    {
        std::vector<Stream> streams;
        for (const auto& shape : script.deployment.services) {
            if (shape.shards == 0)
                continue;
            Stream stream;
            stream.account = script.deployment.account;
            stream.service = shape.name;
            stream.requestsPerSecond = load * capacityOf(shape);
            stream.prefix = shape.name.substr(0, 1);
            streams.push_back(std::move(stream));
        }
        return streams;
    }

    void count(ScriptedResult& result, const Simulation& simulation)
    {
        for (const auto& request : simulation.requests) {
            ++result.queries;
            result.answered += request.outcome == RequestOutcome::Answered;
            result.refused += request.outcome == RequestOutcome::Refused;
            result.reset += request.outcome == RequestOutcome::Reset;
        }
        result.violations = simulation.violations;
        result.violationTexts = simulation.violationTexts;
    }

}

ScriptedResult runScriptedQueries(const Deployment& deployment, uint64_t seed, uint64_t queries)
{
    auto script = std::make_unique<Script>();
    auto& simulation = script->simulation;
    script->deployment = deployment;
    script->random.seed(seed);
    simulation.seed = seed;
    auto all = policies();
    simulation.makeEngine = std::ranges::find(all, "default", &Policy::name)->makeEngine;
    setUp(simulation, deployment);
    simulation.recorder.attemptEnded = [&it = *script](const Simulation&, const Host& host, const routing::Attempt&,
                                           const routing::AttemptResult& result) { inject(it, host, result); };
    simulation.recorder.answered
        = [&it = *script](const Simulation&, const Request&, const query::SearchAnswer& answer) {
              it.result.complete += query::isComplete(answer.coverage);
          };
    auto streams = streamsOf(*script, 0.2 + 0.5 * base::uniform(script->random));
    double rate = 0;
    for (const auto& stream : streams)
        rate += stream.requestsPerSecond;
    auto until = simulation.now + Duration(static_cast<Duration::rep>(static_cast<double>(queries) / rate * 1e6));
    setArrivals(simulation, std::move(streams), until);
    scheduleFaults(*script, until);
    run(simulation, until + std::chrono::seconds(5));
    checkNoSilentLoss(simulation);
    count(script->result, simulation);
    return script->result;
}

Figures measureScriptedQueries(const MeasureOptions& options)
{
    Figures figures { { "deployment", "worlds", "queries", "answered", "complete", "refused", "reset", "faults",
                          "injected results", "failed checks" },
        {}, {}, 0, {} };
    const std::vector<Deployment> deployments { muscat(), sul() };
    auto simulations = std::max<uint64_t>(1, (options.requests + queriesPerSimulation - 1) / queriesPerSimulation);
    std::vector<ScriptedResult> results(simulations);
    auto queries = options.requests / simulations;
    runParallel(options, simulations, [&](size_t n) {
        // A simulation draws its number of arrivals, so a few more are asked for than are needed.
        results[n] = runScriptedQueries(deployments[n % 2], options.seed * 100'003 + n, queries + queries / 25);
    });
    for (size_t d = 0; d < deployments.size(); ++d) {
        ScriptedResult sum;
        uint64_t count = 0;
        for (size_t n = d; n < simulations; n += 2) {
            const auto& it = results[n];
            ++count;
            sum.queries += it.queries;
            sum.answered += it.answered;
            sum.complete += it.complete;
            sum.refused += it.refused;
            sum.reset += it.reset;
            sum.faults += it.faults;
            sum.injectedResults += it.injectedResults;
            sum.violations += it.violations;
            figures.violationTexts.insert(
                figures.violationTexts.end(), it.violationTexts.begin(), it.violationTexts.end());
        }
        figures.violations += sum.violations;
        std::vector<std::string> row { deployments[d].name };
        for (auto value : { count, sum.queries, sum.answered, sum.complete, sum.refused, sum.reset, sum.faults,
                 sum.injectedResults, sum.violations })
            row.push_back(std::to_string(value));
        figures.rows.push_back(std::move(row));
    }
    return figures;
}

}
