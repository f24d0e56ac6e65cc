#include "papayabend/gateway/GatewayHost.h"

#include <algorithm>
#include <vector>

namespace papayabend::gateway {

namespace {

    // Upstreams that are tried in one tick to learn whether they are reached.
    constexpr size_t probesPerTick = 6;
    // After a pause of the process, answers may wait that have not been read.
    constexpr base::Duration unreadAnswerTime { std::chrono::seconds(1) };
    // After a start, upstreams may still hold the connections of the process before and turn new ones away.
    constexpr base::Duration startTime { std::chrono::seconds(5) };

}

void GatewayHost::updateReach(base::TimePoint now)
{
    if (now - m_resumedAt < unreadAnswerTime || now - m_startedAt < startTime)
        return;
    std::vector<const discovery::UpstreamRecord*> listed;
    for (const auto& [id, entry] : m_state.content.upstreams().entries()) {
        if (entry.presence == discovery::Presence::Listed && !entry.record.isDraining)
            listed.push_back(&entry.record);
    }
    auto counts = m_state.pool.reachCounts(now);
    auto hasChanged = dispatch::update(m_reach, counts, listed.size());
    m_state.fleet.self().reach = m_reach.isLost ? fleet::UpstreamReachState::Lost
        : dispatch::isReached(m_reach, now)     ? fleet::UpstreamReachState::Reached
                                                : fleet::UpstreamReachState::Unknown;
    if (hasChanged) {
        logEvent("reach",
            LogFields()
                .add("state", m_reach.isLost ? "lost" : "found")
                .add("silent", counts.silent)
                .add("answering", counts.answering));
        updateUpstreamConnections();
        sendHeartbeatNow();
    }
    if (!dispatch::needsProbes(m_reach))
        return;
    for (size_t n = 0; n < probesPerTick && !listed.empty(); ++n) {
        auto chosen = base::uniformIndex(m_state.random, listed.size());
        m_state.pool.tryConnect(*listed[chosen]);
        std::swap(listed[chosen], listed.back());
        listed.pop_back();
    }
}

bool GatewayHost::relays() const { return m_reach.isLost && !m_isStopping; }

}
