#include "replay/Scenario.h"

#include "papayabend/routing/RoutingSettings.h"

namespace papayabend::replay {

namespace {

    Policy policyOf(std::string name, const routing::RoutingSettings& settings)
    {
        auto makeEngine = [settings](const World& world, const Host& host) {
            auto engine = std::make_unique<engine::Engine>(world.seed * 1'000'003 + host.index);
            auto own = settings;
            own.ownFailureDomain = world.domains[host.domain];
            own.servingHosts = static_cast<uint32_t>(world.hosts.size());
            engine->configureRouting(own);
            return engine;
        };
        return { std::move(name), makeEngine };
    }

    Policy changed(std::string name, auto change)
    {
        routing::RoutingSettings settings;
        change(settings);
        return policyOf(std::move(name), settings);
    }

}

std::vector<Policy> policies()
{
    using routing::CanaryMode;
    using routing::RoutingSettings;
    return { policyOf("baseline", routing::plainBaseline()), policyOf("default", {}),
        changed("no-canary", [](RoutingSettings& it) { it.crashes.canary = CanaryMode::Off; }),
        changed("no-hedge", [](RoutingSettings& it) { it.hedging.enabled = false; }),
        changed("least-in-flight", [](RoutingSettings& it) { it.policy = routing::Policy::LeastInFlight; }),
        changed("affinity", [](RoutingSettings& it) { it.policy = routing::Policy::Affinity; }),
        changed("no-limit", [](RoutingSettings& it) { it.limitInFlight = false; }) };
}

}
