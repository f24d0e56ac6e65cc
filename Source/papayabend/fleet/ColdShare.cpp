#include "papayabend/fleet/ColdShare.h"

#include "papayabend/fleet/BudgetShare.h"

#include <algorithm>

namespace papayabend::fleet {

namespace {

    // A host that callers were sent to before counts as lost on all others of its failure domain after this time, and
    // has noticed that it hears none of them.
    constexpr base::Duration takeoverTime { std::chrono::seconds(3) };

    void observe(PeakCount& peak, size_t count, base::TimePoint now)
    {
        if (count >= peak.count || now - peak.at > coldPeakTime)
            peak = { std::max<size_t>(count, 1), now };
    }

}

void observe(ColdShare& share, const FleetView& fleet, bool isServing, size_t servingHosts, base::TimePoint now)
{
    size_t known = 1;
    size_t live = 1;
    for (const auto& [name, member] : fleet.members()) {
        if (member.heartbeat.failureDomain != fleet.self().failureDomain)
            continue;
        ++known;
        live += fleet.isAlive(member, now) ? 1 : 0;
    }
    observe(share.hosts, fleet.members().size() + 1, now);
    observe(share.ownDomain, known, now);
    observe(share.serving, servingHosts, now);
    share.liveInOwnDomain = live;
    if (isServing && !share.isServing)
        share.servingSince = now;
    share.isServing = isServing;
}

double partOf(const ColdShare& share, base::TimePoint now)
{
    if (share.needsOthers && share.hosts.count == 1)
        return 0;
    auto part = (1 - servingHostsShare) / static_cast<double>(share.hosts.count);
    auto hearsDomain = 2 * share.liveInOwnDomain >= share.ownDomain.count;
    if (share.isServing && hearsDomain && now - share.servingSince >= takeoverTime)
        part += servingHostsShare / static_cast<double>(share.serving.count);
    return part;
}

}
