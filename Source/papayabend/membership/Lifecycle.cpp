#include "papayabend/membership/Lifecycle.h"

#include <array>

namespace papayabend::membership {

std::string_view toString(Lifecycle stage)
{
    constexpr std::array<std::string_view, 6> names { "starting", "serving", "withdrawing", "draining", "handing over",
        "stopped" };
    return names[static_cast<size_t>(stage)];
}

HostState announcedState(Lifecycle stage)
{
    switch (stage) {
    case Lifecycle::Starting:
        return HostState::Starting;
    case Lifecycle::Serving:
        return HostState::Serving;
    case Lifecycle::Withdrawing:
        return HostState::Withdrawing;
    case Lifecycle::Draining:
    case Lifecycle::HandingOver:
        return HostState::Draining;
    case Lifecycle::Stopped:
        break;
    }
    return HostState::Gone;
}

bool advance(Lifecycle& stage, Lifecycle next)
{
    if (next <= stage)
        return false;
    stage = next;
    return true;
}

}
