#include "papayabend/dispatch/UpstreamGate.h"

#include <algorithm>

namespace papayabend::dispatch {

uint64_t keyOf(const discovery::UpstreamRecord& record) { return UpstreamLimits::keyOf(record.id, record.startedAt); }

std::optional<base::Duration> waitFor(const UpstreamGate& gate, uint64_t key, base::TimePoint now)
{
    if (gate.holds.isLeaving(key))
        return std::nullopt;
    return std::max(gate.holds.pauseLeft(key, now), gate.limits.waitFor(key, gate.limitShare, now));
}

bool isOpen(const UpstreamGate& gate, uint64_t key, bool isHedge, base::TimePoint now)
{
    if (isHedge && gate.limits.limitOf(key, now))
        return false;
    return waitFor(gate, key, now) == base::Duration(0);
}

}
