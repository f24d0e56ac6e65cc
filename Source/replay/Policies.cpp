#include "replay/Scenario.h"

#include "papayabend/routing/RoutingSettings.h"

namespace papayabend::replay {

namespace {

    using routing::RoutingSettings;

    Policy policyOf(std::string name, const RoutingSettings& settings, bool hasAdmission = true)
    {
        auto makeEngine = [settings, hasAdmission](const Simulation& simulation, const Host& host) {
            engine::EngineSettings engineSettings;
            engineSettings.admission.enabled = hasAdmission;
            auto engine = std::make_unique<engine::Engine>(
                simulation.seed * 1'000'003 + host.index, identityOf(simulation, host), engineSettings);
            auto own = settings;
            own.ownFailureDomain = simulation.domains[host.domain];
            own.servingHosts = static_cast<uint32_t>(simulation.hosts.size());
            engine->configureRouting(own);
            return engine;
        };
        return { std::move(name), makeEngine };
    }

    Policy changed(std::string name, auto change)
    {
        RoutingSettings settings;
        change(settings);
        return policyOf(std::move(name), settings);
    }

}

std::vector<Policy> policies()
{
    using routing::CanaryMode;
    return { policyOf("baseline", routing::plainBaseline(), false), policyOf("default", {}),
        policyOf("no-admission", {}, false),
        changed("no-canary", [](RoutingSettings& it) { it.crashes.canary = CanaryMode::Off; }),
        changed("no-hedge", [](RoutingSettings& it) { it.hedging.enabled = false; }),
        changed("least-in-flight", [](RoutingSettings& it) { it.policy = routing::Policy::LeastInFlight; }),
        changed("affinity", [](RoutingSettings& it) { it.policy = routing::Policy::Affinity; }),
        changed("no-limit", [](RoutingSettings& it) { it.limitInFlight = false; }) };
}

}
