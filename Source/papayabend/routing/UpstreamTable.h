#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/Attempt.h"
#include "papayabend/routing/RoutingSettings.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string_view>
#include <tbb/concurrent_hash_map.h>
#include <vector>

namespace papayabend::routing {

/** \enum Condition
 * \brief Condition of an upstream as this host sees it. Catalogue entries that are leaving come on top.
 */
enum class Condition : uint8_t {
    Cold, /**< No answer seen since the start or the return to service. */
    Ramping,
    Available,
    Overloaded, /**< Shed work recently. */
    Draining,
    Unreachable,
};

std::string_view toString(Condition);

/** \struct UpstreamState
 * \brief What this host knows about one upstream from its own calls. Times are in microseconds of TimePoint.
 */
struct UpstreamState {
    std::atomic<uint32_t> inFlight { 0 };
    std::atomic<double> inFlightLimit { 0 }; /**< 0 until the first attempt; lowered when work is shed. */
    std::atomic<double> latencyUs { 0 }; /**< Moving average over own attempts; 0 if none has ended. */
    std::atomic<int64_t> latencyAt { 0 };
    std::atomic<double> returnDelayUs { 0 }; /**< Estimate of the network delay of an answer. */
    std::atomic<uint32_t> reportedQueue { 0 };
    std::atomic<int64_t> reportedAt { 0 };
    std::atomic<int64_t> rampStart { 0 }; /**< First answer after the start or the return; 0 while cold. */
    std::atomic<int64_t> overloadedUntil { 0 };
    std::atomic<int64_t> limitLoweredAt { 0 };
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isUnreachable { false };
    std::atomic<bool> isProbing { false };
    std::atomic<int64_t> probeAt { 0 }; /**< Time from which a probe may be sent. */
    std::atomic<uint32_t> failures { 0 }; /**< In a row; sets the backoff. */
    std::atomic<int64_t> evidenceAt { 0 }; /**< Last evidence that the upstream is leaving or unreachable. */
    std::atomic<uint64_t> missingSnapshot { 0 };
    std::atomic<int64_t> missingSnapshotUntil { 0 };
    std::atomic<bool> wasLeaving { false }; /**< In the catalogue seen last. */
    std::atomic<bool> wasListed { false }; /**< In the catalogue seen last. */
};

/** \struct StartedAttempt
 * \brief Attempt whose end has not been reported yet.
 */
struct StartedAttempt {
    catalog::UpstreamId upstream {};
    base::TimePoint sent {};
    uint64_t snapshot { 0 };
    bool isProbe { false };
};

/** \class UpstreamTable
 * \brief States of all upstreams by number. Safe for use by several threads.
 */
class UpstreamTable {
public:
    explicit UpstreamTable(RoutingSettings settings = {});

    /** Returns the state of an upstream and creates it on first use. */
    UpstreamState& state(catalog::UpstreamId id);

    /** Settings; they are fixed before the first request. */
    const RoutingSettings& settings() const { return m_settings; }
    void configure(RoutingSettings settings);

    /** Number of hosts that share an upstream's connections. */
    uint32_t servingHosts() const { return m_servingHosts.load(std::memory_order_relaxed); }
    void setServingHosts(uint32_t count) { m_servingHosts.store(count ? count : 1); }

    using Started = tbb::concurrent_hash_map<AttemptId, StartedAttempt>;
    Started& started() { return m_started; }

    /** Takes a new catalogue: upstreams that it returns to service lose all evidence against them. */
    void catalogSeen(const catalog::Catalog&, base::TimePoint now);

    /** Returns whether the next scan for due probes may run, at most every 50 ms. */
    bool claimProbeScan(base::TimePoint now);

private:
    RoutingSettings m_settings;
    std::atomic<uint32_t> m_servingHosts { 1 };
    std::shared_mutex m_mutex;
    std::deque<UpstreamState> m_states; // A deque keeps references valid while it grows.
    Started m_started;
    std::atomic<uint64_t> m_catalogVersion { 0 };
    std::atomic<int64_t> m_nextProbeScan { 0 };
};

/** Returns the condition of an upstream at \a now. */
Condition conditionOf(const UpstreamState&, const RoutingSettings&, base::TimePoint now);

/** Returns the connections that this host may open to an upstream, at least 1. */
uint32_t connectionsPerHost(const UpstreamTable&, const catalog::Upstream&);

/** Returns the number of calls that this host may have in flight to an upstream. */
uint32_t inFlightLimit(UpstreamTable&, const catalog::Upstream&);

/** Records that an attempt was handed to the transport. */
void attemptStarted(UpstreamTable&, const Attempt&, base::TimePoint now = {});

/** Records the end of an attempt. A second report of the same attempt has no effect and returns false. */
bool attemptFinished(UpstreamTable&, const AttemptResult&, base::TimePoint now);

/**
 * Returns probes for upstreams whose backoff has ended; each has been recorded as started. A probe names no service
 * and carries no content, so that it runs nothing: any answer without a drain signal shows that the upstream is back.
 * Its request is \a request, whose arrival was the occasion.
 */
std::vector<Attempt> dueProbes(
    UpstreamTable&, const catalog::Catalog&, RequestId request, std::atomic<AttemptId>& lastProbe, base::TimePoint now);

}
