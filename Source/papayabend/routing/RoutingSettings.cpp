#include "papayabend/routing/RoutingSettings.h"

#include <algorithm>
#include <array>

namespace papayabend::routing {

namespace {

    constexpr std::array<std::string_view, 4> policyNames { "random", "leastInFlight", "twoChoices", "affinity" };
    constexpr std::array<std::string_view, 3> canaryNames { "off", "afterCrash", "always" };

    template <typename T>
    std::optional<T> parseName(
        const auto& names, std::string_view text, std::string_view what, base::LastReason& reason)
    {
        auto it = std::ranges::find(names, text);
        if (it == names.end())
            return base::fail(reason, std::string(what) + " \"" + std::string(text) + "\" is not known");
        return static_cast<T>(it - names.begin());
    }

}

RoutingSettings plainBaseline()
{
    RoutingSettings settings;
    settings.policy = Policy::Random;
    settings.limitInFlight = false;
    settings.hedging.enabled = false;
    settings.crashes.canary = CanaryMode::Off;
    return settings;
}

std::optional<Policy> parsePolicy(std::string_view text, base::LastReason& reason)
{
    return parseName<Policy>(policyNames, text, "routing policy", reason);
}

std::string_view toString(Policy policy) { return policyNames[static_cast<size_t>(policy)]; }

std::optional<CanaryMode> parseCanaryMode(std::string_view text, base::LastReason& reason)
{
    return parseName<CanaryMode>(canaryNames, text, "canary mode", reason);
}

}
