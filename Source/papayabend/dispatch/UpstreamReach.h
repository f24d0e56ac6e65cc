#pragma once

#include "papayabend/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace papayabend::dispatch {

/** \struct ReachObservation
 * \brief When this host last tried to reach an upstream, and when it last heard of it.
 */
struct ReachObservation {
    base::TimePoint answeredAt {}; /**< The newest answer, or the newest connection that it accepted. */
    base::TimePoint tryingSince {}; /**< The first try without an answer since; default value if there is none. */
    base::TimePoint triedAt {}; /**< The newest try: a request that was sent, or a connection that was begun. */
};

void recordTry(ReachObservation&, base::TimePoint now);
void recordAnswer(ReachObservation&, base::TimePoint now);

/** \struct ReachCounts
 * \brief Numbers of upstreams that this host has tried lately.
 */
struct ReachCounts {
    uint32_t answering { 0 };
    uint32_t silent { 0 }; /**< They have answered none of the tries of some time. */
    base::TimePoint answeredAt {}; /**< Newest answer of any upstream. */
};

/** Counts an upstream if it was tried, or has answered, within reachWindow. */
void count(ReachCounts&, const ReachObservation&, base::TimePoint now);

/** Time for which an observation counts. */
constexpr base::Duration reachWindow { std::chrono::milliseconds(1500) };
/** Time after the newest answer for which a host without requests still counts as reaching the upstreams. */
constexpr base::Duration reachedTime { std::chrono::seconds(5) };
/** Time of tries without an answer after which an upstream is silent; some pauses of upstreams last 200 ms. */
constexpr base::Duration silenceTime { std::chrono::milliseconds(700) };

/** \struct UpstreamReach
 * \brief Whether this host has lost its links to the upstreams, as far as it can see by itself.
 *
 * A host cannot tell the loss of its links from a loss of most upstreams; other hosts that reach them make the
 * difference.
 */
struct UpstreamReach {
    bool isLost { false };
    ReachCounts counts;
};

/** Updates the state; \a listed: number of upstreams that could be reached. Returns whether it has changed.
 *
 * The links are lost when seven in ten upstreams that were tried lately are silent, three at least, and found again
 * when as many answer as are silent.
 */
bool update(UpstreamReach&, const ReachCounts&, size_t listed);

/** Returns whether the upstreams are reached: one has answered lately, and few are silent. */
bool isReached(const UpstreamReach&, base::TimePoint now);

/** Returns whether upstreams are to be tried only to learn whether they are reached: this host has lost its links, or
 * hears of no upstream. */
bool needsProbes(const UpstreamReach&);

}
