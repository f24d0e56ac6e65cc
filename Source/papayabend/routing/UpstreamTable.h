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
 * \brief Condition of an upstream as observed by this host. Whether it is leaving is stated by the catalogue.
 */
enum class Condition : uint8_t {
    Cold, /**< No answer received since the start of this host or the return to service. */
    Ramping, /**< Gets a rising share of the work. */
    Available,
    Overloaded, /**< Has shed an attempt recently. */
    Draining,
    Unreachable,
};

std::string_view toString(Condition);

/** \struct UpstreamState
 * \brief State of one upstream as observed by this host's calls. Times are microseconds since the epoch of TimePoint.
 */
struct UpstreamState {
    std::atomic<uint32_t> inFlight { 0 };
    std::atomic<double> inFlightLimit { 0 }; /**< 0 if not set yet; lowered when attempts are shed. */
    std::atomic<double> latencyUs { 0 }; /**< Moving average over this host's attempts; 0 if there is no sample. */
    std::atomic<int64_t> latencyAt { 0 };
    std::atomic<double> returnDelayUs { 0 }; /**< Estimated network delay of an answer. */
    std::atomic<uint32_t> reportedQueue { 0 };
    std::atomic<int64_t> reportedAt { 0 };
    std::atomic<int64_t> rampStart { 0 }; /**< First answer after the start or the return to service; 0 while cold. */
    std::atomic<int64_t> overloadedUntil { 0 };
    std::atomic<int64_t> limitLoweredAt { 0 };
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isUnreachable { false };
    std::atomic<bool> isProbing { false };
    std::atomic<int64_t> probeAt { 0 }; /**< Earliest time of the next probe. */
    std::atomic<uint32_t> failures { 0 }; /**< Number of consecutive failures; determines the backoff. */
    std::atomic<int64_t> outOfServiceAt { 0 }; /**< Last drain signal or failed connection. */
    std::atomic<uint64_t> missingSnapshot { 0 }; /**< Last snapshot that the upstream did not have; 0 if none. */
    std::atomic<int64_t> missingSnapshotUntil { 0 };
    std::atomic<bool> wasLeaving { false }; /**< In the catalogue last passed to catalogSeen(). */
    std::atomic<bool> wasListed { false }; /**< In the catalogue last passed to catalogSeen(). */
};

/** \struct StartedAttempt
 * \brief Attempt whose result has not been reported yet.
 */
struct StartedAttempt {
    catalog::UpstreamId upstream {};
    base::TimePoint sentAt {};
    uint64_t snapshot { 0 };
    bool isProbe { false };
};

/** \class UpstreamTable
 * \brief States of all upstreams, indexed by UpstreamId. Thread-safe.
 */
class UpstreamTable {
public:
    explicit UpstreamTable(RoutingSettings settings = {});

    /** Returns the state of an upstream and creates it on first use. */
    UpstreamState& state(catalog::UpstreamId id);

    /** Returns the settings, which do not change after the first request. */
    const RoutingSettings& settings() const { return m_settings; }
    void configure(RoutingSettings settings);

    /** Returns the number of hosts that share an upstream's connections. */
    uint32_t servingHosts() const { return m_servingHosts.load(std::memory_order_relaxed); }
    void setServingHosts(uint32_t count) { m_servingHosts.store(count ? count : 1); }

    using StartedAttempts = tbb::concurrent_hash_map<AttemptId, StartedAttempt>;
    StartedAttempts& startedAttempts() { return m_startedAttempts; }

    /**
     * Compares a catalogue with the previous one. Upstreams that were leaving or not listed and now are in service are
     * available again, regardless of earlier drain signals and failures.
     */
    void catalogSeen(const catalog::Catalog&, base::TimePoint now);

    /** Returns whether the caller may scan for due probes; true at most once every 50 ms. */
    bool claimProbeScan(base::TimePoint now);

private:
    RoutingSettings m_settings;
    std::atomic<uint32_t> m_servingHosts { 1 };
    std::shared_mutex m_mutex;
    std::deque<UpstreamState> m_states; // A deque keeps references valid while it grows.
    StartedAttempts m_startedAttempts;
    std::atomic<uint64_t> m_catalogVersion { 0 };
    std::atomic<int64_t> m_nextProbeScan { 0 };
};

/** Returns the condition of an upstream at \a now. */
Condition conditionOf(const UpstreamState&, const RoutingSettings&, base::TimePoint now);

/** Returns the connections that this host may open to an upstream, at least 1. */
uint32_t connectionsPerHost(const UpstreamTable&, const catalog::Upstream&);

/** Returns the number of calls that this host may have in flight to an upstream. */
uint32_t inFlightLimit(UpstreamTable&, const catalog::Upstream&);

/** Records that an attempt was passed to the transport. */
void attemptStarted(UpstreamTable&, const Attempt&, base::TimePoint now = {});

/** Records the result of an attempt. A second result of the same attempt has no effect and returns false. */
bool attemptFinished(UpstreamTable&, const AttemptResult&, base::TimePoint now);

/**
 * Returns probes for upstreams whose backoff has ended, and records them as started. A probe contains no service and no
 * content, so it runs nothing: any answer without a drain signal shows that the upstream is available again. Probes are
 * sent when a request arrives and contain its id, \a request.
 */
std::vector<Attempt> dueProbes(
    UpstreamTable&, const catalog::Catalog&, RequestId request, std::atomic<AttemptId>& lastProbe, base::TimePoint now);

}
