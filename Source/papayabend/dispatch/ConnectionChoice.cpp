#include "papayabend/dispatch/ConnectionChoice.h"

#include <algorithm>

namespace papayabend::dispatch {

std::optional<size_t> chooseConnection(
    std::span<const ConnectionState> connections, const ConnectionNeeds& needs, base::TimePoint now)
{
    std::optional<size_t> best;
    for (size_t n = 0; n < connections.size(); ++n) {
        const auto& it = connections[n];
        if (!it.isIdle || it.idleUntil.value_or(now) < now || (needs.isFresh && now - it.idleSince > freshTime))
            continue;
        if (std::ranges::find(needs.used, it.number) != needs.used.end())
            continue;
        if (!best || it.idleSince > connections[*best].idleSince)
            best = n;
    }
    return best;
}

}
