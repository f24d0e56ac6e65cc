#include "replay/Scenario.h"

namespace papayabend::replay {

namespace {

    std::unique_ptr<engine::Engine> makeDefault(const World& world, const Host& host)
    {
        return std::make_unique<engine::Engine>(world.seed * 1'000'003 + host.index);
    }

}

std::vector<Policy> policies() { return { { "default", makeDefault } }; }

}
