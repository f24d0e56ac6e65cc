#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::routing {

/** \enum Policy
 * \brief How one of several usable replicas is chosen.
 */
enum class Policy : uint8_t {
    Random, /**< The plain baseline; ignores load and latency. */
    LeastInFlight, /**< Lowest cost of all replicas. */
    TwoChoices, /**< Lower cost of two replicas drawn at random. */
    Affinity, /**< First by rendezvous hash of the key, unless its cost is far above that of the best. */
};

/** \enum CanaryMode
 * \brief When a request is first tried on one upstream alone.
 */
enum class CanaryMode : uint8_t {
    Off,
    AfterCrash, /**< While a connection with requests in flight was lost recently. */
    Always, /**< For each fingerprint that has not succeeded before. */
};

/** \struct HedgingSettings
 * \brief Second attempts for slow shards.
 */
struct HedgingSettings {
    bool enabled { true };
    double quantile { 0.96 }; /**< Part of the attempts that end before a hedge is sent. */
    double budget { 0.05 }; /**< Extra over needed attempts in the window, for the host and each client account. */
    base::Duration window { std::chrono::seconds(10) };
    base::Duration minDelay { std::chrono::milliseconds(1) };
    base::Duration initialDelay { std::chrono::milliseconds(50) }; /**< Until enough attempts were measured. */
    double overloadShare { 0.1 }; /**< Shed or waiting attempts over all above which no hedge is sent. */
};

/** \struct RetrySettings
 * \brief Attempts after one that failed or was shed.
 */
struct RetrySettings {
    double budget { 0.2 }; /**< Retries over needed attempts in the hedging window, for the host. */
    uint32_t burst { 64 }; /**< Retries in the window that need no budget, so that an idle host can retry. */
    uint32_t perShard { 3 }; /**< Attempts of one shard of one search after the first, hedges included. */
};

/** \struct CrashSettings
 * \brief Requests that crash upstreams.
 */
struct CrashSettings {
    CanaryMode canary { CanaryMode::Always };
    uint32_t crashes { 2 }; /**< Upstreams lost before a request is refused. */
    base::Duration validity { std::chrono::minutes(10) }; /**< Of a quarantine, and of the memory of successes. */
    base::Duration recent { std::chrono::minutes(1) }; /**< After a crash, for CanaryMode::AfterCrash. */
    // Notices need one network delay; 30 ms covers the delay between domains several times over.
    base::Duration settle { std::chrono::milliseconds(30) }; /**< Wait for the notices of other hosts. */
    base::Duration soloRunTime { std::chrono::milliseconds(40) }; /**< Time for which one suspect runs alone. */
    uint32_t rememberedRequests { 200'000 }; /**< Fingerprints that succeeded, at most. */
};

/** \struct RecoverySettings
 * \brief How an upstream loses and regains work.
 */
struct RecoverySettings {
    base::Duration minBackoff { std::chrono::milliseconds(100) };
    base::Duration maxBackoff { std::chrono::seconds(5) };
    // A health endpoint may lag, so a drained upstream is probed only after this time.
    base::Duration drainHold { std::chrono::seconds(3) };
    base::Duration overloadHold { std::chrono::milliseconds(100) };
    base::Duration ramp { std::chrono::seconds(5) }; /**< Time over which a cold upstream reaches its full share. */
    base::Duration probeTimeout { std::chrono::milliseconds(500) };
    base::Duration snapshotHold { std::chrono::seconds(1) }; /**< Before a missing snapshot is asked for again. */
};

/** \struct RoutingSettings
 * \brief Everything that the choice of upstreams depends on.
 */
struct RoutingSettings {
    Policy policy { Policy::TwoChoices };
    std::string ownFailureDomain;
    double remoteDomainWeight { 1.5 }; /**< Cost of another failure domain over that of the own one. */
    std::map<std::string, double> domainWeights; /**< Overrides remoteDomainWeight by failure domain. */
    bool limitInFlight { true }; /**< Of calls to an upstream and of searches of a service. */
    double searchesPerCall { 2 }; /**< Running searches over calls that the scarcest shard may have in flight. */
    double connectionShare { 0.9 }; /**< Part of an upstream's connection limit that all hosts use together. */
    uint32_t servingHosts { 8 }; /**< Hosts that share an upstream, until the host view gives their number. */
    HedgingSettings hedging;
    RetrySettings retries;
    CrashSettings crashes;
    RecoverySettings recovery;
};

/** Returns the plain baseline: random replica, no hedge, no limit in flight, no canary. */
RoutingSettings plainBaseline();

/** Accepts "random", "leastInFlight", "twoChoices" and "affinity". */
std::optional<Policy> parsePolicy(std::string_view text, base::LastReason& reason);
std::string_view toString(Policy);

/** Accepts "off", "afterCrash" and "always". */
std::optional<CanaryMode> parseCanaryMode(std::string_view text, base::LastReason& reason);

}
