#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/Attempt.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <shared_mutex>
#include <span>

namespace papayabend::routing {

/** \struct UpstreamState
 * \brief What this host knows about one upstream from its own calls.
 */
struct UpstreamState {
    std::atomic<uint32_t> inFlight { 0 };
    std::atomic<bool> isDraining { false };
};

/** \class UpstreamTable
 * \brief States of all upstreams by number. Safe for use by several threads.
 */
class UpstreamTable {
public:
    /** Returns the state of an upstream and creates it on first use. */
    UpstreamState& state(catalog::UpstreamId id);

private:
    std::shared_mutex m_mutex;
    std::deque<UpstreamState> m_states; // A deque keeps references valid while it grows.
};

/** Returns the usable replica with the fewest own calls in flight, or none. */
std::optional<catalog::UpstreamId> chooseReplica(UpstreamTable&, const catalog::Catalog&,
    std::span<const catalog::UpstreamId> replicas, std::span<const catalog::UpstreamId> excluded, base::Random&);

void attemptStarted(UpstreamTable&, const Attempt&);
void attemptFinished(UpstreamTable&, const AttemptResult&);

}
