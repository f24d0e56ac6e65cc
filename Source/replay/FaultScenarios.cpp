#include "replay/Scenario.h"

#include <iterator>

namespace papayabend::replay {

namespace {

    constexpr double faultLoad = 0.3;
    constexpr auto drainTime = std::chrono::seconds(20);
    constexpr auto resendDelay = std::chrono::milliseconds(50);
    constexpr int resends = 2;

    enum class Fault : uint8_t {
        None,
        UpstreamLost,
        UpstreamSheds,
        UpstreamDrains,
        UpstreamSlow,
        HostLost,
        HostPaused,
        Partition,
        PlatformDown,
        Repartition,
        Any,
    };

    constexpr std::pair<Fault, const char*> faults[] {
        { Fault::None, "none" },
        { Fault::UpstreamLost, "upstream lost" },
        { Fault::UpstreamSheds, "upstream sheds" },
        { Fault::UpstreamDrains, "upstream drains" },
        { Fault::UpstreamSlow, "upstream slow" },
        { Fault::HostLost, "host lost" },
        { Fault::HostPaused, "host paused" },
        { Fault::Partition, "partition" },
        { Fault::PlatformDown, "platform down" },
        { Fault::Repartition, "repartition" },
        { Fault::Any, "all, two at once" },
    };

    struct FaultRun {
        Deployment deployment;
        Fault fault { Fault::None };
        const char* name { "" };
        std::string service;
        double requests { 0 };
        uint64_t injected { 0 };
        Outcome outcome;
        uint64_t duplicates { 0 };
        uint64_t unknown { 0 };
        uint64_t violations { 0 };
    };

    // Faults of one run. Each takes effect for a random time at a random place.
    struct Injector {
        FaultRun* run;
        base::Random random;
        TimePoint until {};
        uint64_t version { 1 };

        void inject(Simulation& simulation, Fault fault)
        {
            auto duration = Duration(200'000 + static_cast<int64_t>(base::uniform(random) * 2e6));
            auto end = simulation.now + duration;
            auto upstream = static_cast<uint32_t>(base::uniformIndex(random, simulation.upstreams.size()));
            auto host = static_cast<uint32_t>(base::uniformIndex(random, simulation.hosts.size()));
            auto first = static_cast<uint32_t>(base::uniformIndex(random, simulation.domains.size()));
            auto second = static_cast<uint32_t>((first + 1) % simulation.domains.size());
            switch (fault) {
            case Fault::UpstreamLost:
                killUpstream(simulation, upstream);
                at(simulation, end, [upstream](Simulation& it) { restartUpstream(it, upstream); });
                break;
            case Fault::UpstreamSheds:
                simulation.upstreams[upstream].isShedding = true;
                at(simulation, end, [upstream](Simulation& it) { it.upstreams[upstream].isShedding = false; });
                break;
            case Fault::UpstreamDrains:
                simulation.upstreams[upstream].isDraining = true;
                at(simulation, end, [upstream](Simulation& it) { restartUpstream(it, upstream); });
                break;
            case Fault::UpstreamSlow:
                simulation.upstreams[upstream].slowdown = 10;
                at(simulation, end, [upstream](Simulation& it) { it.upstreams[upstream].slowdown = 1; });
                break;
            case Fault::HostLost:
                killHost(simulation, host);
                at(simulation, end, [host](Simulation& it) { startHost(it, host); });
                break;
            case Fault::HostPaused:
                pauseHost(simulation, host);
                at(simulation, end, [host](Simulation& it) { resumeHost(it, host); });
                break;
            case Fault::Partition:
                cutDomains(simulation, simulation.domains[first], simulation.domains[second]);
                at(simulation, end, [](Simulation& it) { healDomains(it); });
                break;
            case Fault::PlatformDown:
                setPlatformDown(simulation, true);
                at(simulation, end, [](Simulation& it) { setPlatformDown(it, false); });
                break;
            case Fault::Repartition:
                repartition(simulation);
                break;
            case Fault::None:
            case Fault::Any:
                return;
            }
            ++run->injected;
        }

        // Publishes a new snapshot with other replicas for each shard; upstreams then drop the old one.
        void repartition(Simulation& simulation)
        {
            auto old = version;
            ++version;
            publish(simulation, "catalog", catalogText(run->deployment, version, version));
            at(simulation, simulation.now + std::chrono::seconds(5), [this, old](Simulation& it) {
                for (const auto& shape : run->deployment.services) {
                    for (uint32_t n = 0; shape.shards > 0 && n < it.upstreams.size(); ++n)
                        dropSnapshot(it, n, shape.name, old);
                }
            });
        }

        void next(Simulation& simulation)
        {
            if (simulation.now >= until)
                return;
            if (run->fault == Fault::Any) {
                for (int n = 0; n < 2; ++n)
                    inject(simulation, faults[1 + base::uniformIndex(random, std::size(faults) - 2)].first);
            } else {
                inject(simulation, run->fault);
            }
            // A repartition takes 5 s until the old snapshot is gone; the last two snapshots are published.
            auto pause = run->fault == Fault::Repartition ? 8e6 : 1e6;
            at(simulation, simulation.now + Duration(static_cast<int64_t>(pause * (0.5 + base::uniform(random)))),
                [this](Simulation& it) { next(it); });
        }
    };

    // A caller whose order was reset, or whose outcome is unknown, sends the same ticket to another host.
    void resend(Simulation& simulation, const Request& request, std::vector<uint8_t>& sent)
    {
        if (request.kind != RequestKind::Execute || request.ticket.empty())
            return;
        auto first = request.ticketOf.value_or(request.number);
        sent.resize(std::max<size_t>(sent.size(), first + 1));
        if (sent[first]++ >= resends)
            return;
        Request again;
        again.kind = RequestKind::Execute;
        again.ticketOf = first;
        again.account = request.account;
        again.service = request.service;
        again.body = request.body;
        again.host = static_cast<uint32_t>((request.host + 1) % simulation.hosts.size());
        again.sentAt = simulation.now + resendDelay;
        again.timeout = request.timeout;
        submit(simulation, std::move(again));
    }

    void runFaults(FaultRun& it, const MeasureOptions& options, Figures& figures)
    {
        Simulation simulation;
        simulation.seed = options.seed;
        simulation.crashRestartTime = std::chrono::seconds(1);
        simulation.makeEngine = policies()[1].makeEngine;
        setUp(simulation, it.deployment);
        const auto& shape = shapeOf(it.deployment, it.service);
        Stream stream;
        stream.account = it.deployment.account;
        stream.service = it.service;
        stream.requestsPerSecond = faultLoad * capacityOf(shape);
        auto until = simulation.now + Duration(static_cast<int64_t>(it.requests / stream.requestsPerSecond * 1e6));
        bool isExecution = shape.shards == 0;
        auto from = simulation.now;
        setArrivals(simulation, { stream }, until);
        if (isExecution) {
            simulation.arrivals = [arrivals = simulation.arrivals] {
                auto request = arrivals();
                if (request)
                    request->kind = RequestKind::Execute;
                return request;
            };
        }
        std::vector<uint8_t> sent;
        simulation.recorder.reset
            = [&](const Simulation&, const Request& request) { resend(simulation, request, sent); };
        simulation.recorder.refused = [&](const Simulation&, const Request& request, const base::Refusal& refusal) {
            it.unknown += refusal.verdict != base::Verdict::NotRun;
            if (refusal.verdict != base::Verdict::NotRun)
                resend(simulation, request, sent);
        };
        Injector injector { &it, base::Random(options.seed * 31 + static_cast<uint64_t>(it.fault)), until };
        at(simulation, simulation.now + std::chrono::seconds(1), [&](Simulation& later) { injector.next(later); });
        run(simulation, until + drainTime);
        checkNoSilentLoss(simulation);
        for (const auto& [body, starts] : simulation.executions)
            it.duplicates += starts - 1;
        it.outcome = Collector(simulation, it.deployment, from, TimePoint::max()).outcome();
        it.violations = simulation.violations;
        addViolations(figures, simulation);
    }

    Figures measureFaults(const MeasureOptions& options, bool isExecution)
    {
        Figures figures { { "deployment", "fault", "injected", "requests", "complete", "partial", "refused", "unknown",
                              "reset", "no reply", "duplicates", "failed checks" },
            {}, {}, 0, {} };
        std::vector<FaultRun> runs;
        for (const auto& deployment : { muscat(), sul() }) {
            for (auto [fault, name] : faults) {
                auto service = deployment.services[isExecution ? 2 : 0].name;
                // Half of the requests run with all faults, the others with one each.
                auto share = fault == Fault::Any ? 0.5 : 0.5 / static_cast<double>(std::size(faults) - 1);
                auto requests = share * static_cast<double>(options.requests);
                runs.push_back({ deployment, fault, name, service, requests, 0, {}, 0, 0, 0 });
            }
        }
        runParallel(options, runs.size(), [&](size_t n) { runFaults(runs[n], options, figures); });
        for (const auto& it : runs)
            figures.rows.push_back({ it.deployment.name, it.name, std::to_string(it.injected),
                std::to_string(it.outcome.requests), std::to_string(it.outcome.complete),
                std::to_string(it.outcome.answered - it.outcome.complete), std::to_string(it.outcome.refused),
                std::to_string(it.unknown), std::to_string(it.outcome.reset), std::to_string(it.outcome.unanswered),
                std::to_string(it.duplicates), std::to_string(it.violations) });
        return figures;
    }

}

Figures measureSearchFaults(const MeasureOptions& options) { return measureFaults(options, false); }

Figures measureExecutionFaults(const MeasureOptions& options) { return measureFaults(options, true); }

}
