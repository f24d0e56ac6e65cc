#include "replay/Scenario.h"

namespace papayabend::replay {

namespace {

    using Routing = routing::RoutingSettings;

    std::function<std::unique_ptr<engine::Engine>(const World&, const Host&)> engineWith(
        const std::function<Routing()>& routing, bool hasAdmission)
    {
        return [routing, hasAdmission](const World& world, const Host& host) {
            engine::EngineSettings settings;
            settings.admission.enabled = hasAdmission;
            auto engine = std::make_unique<engine::Engine>(
                world.seed * 1'000'003 + host.index, identityOf(world, host), settings);
            auto chosen = routing();
            chosen.ownFailureDomain = world.domains[host.domain];
            chosen.servingHosts = static_cast<uint32_t>(world.hosts.size());
            engine->configureRouting(chosen);
            return engine;
        };
    }

    Routing withoutHedges()
    {
        Routing settings;
        settings.hedging.enabled = false;
        return settings;
    }

}

std::vector<Policy> policies()
{
    return {
        { "baseline", engineWith(routing::plainBaseline, false) },
        { "default", engineWith([] { return Routing(); }, true) },
        { "no hedges", engineWith(withoutHedges, true) },
        { "no admission", engineWith([] { return Routing(); }, false) },
    };
}

}
