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
    Random, /**< Any replica with equal probability, regardless of load and latency; used by the baseline. */
    LeastInFlight, /**< The replica with the lowest cost. */
    TwoChoices, /**< The one with the lower cost of two random replicas. */
    Affinity, /**< First by rendezvous hash of the key, unless its cost is far above the lowest. */
};

/** \enum CanaryMode
 * \brief When a request is first sent to a single upstream as a canary.
 */
enum class CanaryMode : uint8_t {
    Off,
    AfterCrash, /**< For some time after a connection was lost with requests in flight. */
    Always, /**< For each fingerprint that has not succeeded before. */
};

/** \struct HedgingSettings
 * \brief Settings for hedges, which are second attempts for slow shards.
 */
struct HedgingSettings {
    bool enabled { true };
    double quantile { 0.96 }; /**< Quantile of the attempt latencies after which a hedge is sent. */
    double budget { 0.05 }; /**< Maximum hedges per needed attempt, for the host and each client account. */
    base::Duration window { std::chrono::seconds(10) }; /**< Sliding window of the hedge and retry budgets. */
    base::Duration minDelay { std::chrono::milliseconds(1) };
    base::Duration initialDelay { std::chrono::milliseconds(50) }; /**< Used until enough latencies were recorded. */
    double overloadShare { 0.1 }; /**< Ratio of shed or waiting to sent attempts above which no hedge is sent. */
};

/** \struct RetrySettings
 * \brief Settings for retries after an attempt that failed or was shed.
 */
struct RetrySettings {
    double budget { 0.2 }; /**< Maximum retries per needed attempt, for the host and each client account. */
    uint32_t burst { 64 }; /**< Retries in the window that are always allowed, so that an idle host can retry. */
    uint32_t perShard { 3 }; /**< Maximum attempts for a shard of one search after the first, including hedges. */
};

/** \struct CrashSettings
 * \brief Settings for requests that crash upstreams.
 */
struct CrashSettings {
    CanaryMode canary { CanaryMode::Always };
    uint32_t crashes { 2 }; /**< Number of lost upstreams after which a request is quarantined. */
    base::Duration validity { std::chrono::minutes(10) }; /**< Duration of quarantines and remembered successes. */
    base::Duration recent { std::chrono::minutes(1) }; /**< Time after a crash for CanaryMode::AfterCrash. */
    // A notice takes one network delay; 30 ms is several times the delay between failure domains.
    base::Duration settle { std::chrono::milliseconds(30) }; /**< Wait for other hosts' notices of a crash. */
    base::Duration soloRunTime { std::chrono::milliseconds(40) }; /**< Time reserved for each suspect to run alone. */
    uint32_t rememberedRequests { 200'000 }; /**< Maximum number of successful requests to remember. */
};

/** \struct RecoverySettings
 * \brief Settings for taking upstreams out of service and returning them.
 */
struct RecoverySettings {
    base::Duration minBackoff { std::chrono::milliseconds(100) };
    base::Duration maxBackoff { std::chrono::seconds(5) };
    // A health endpoint may lag behind a drain signal, so a draining upstream is probed only after this time.
    base::Duration drainHold { std::chrono::seconds(3) };
    base::Duration overloadHold { std::chrono::milliseconds(100) }; /**< Time of overload after a shed attempt. */
    base::Duration ramp { std::chrono::seconds(5) }; /**< Time over which a cold upstream reaches its full share. */
    base::Duration probeTimeout { std::chrono::milliseconds(500) };
    base::Duration snapshotHold { std::chrono::seconds(1) }; /**< Time before a missing snapshot is requested again. */
};

/** \struct RoutingSettings
 * \brief Settings for the choice of upstreams, retries, hedges and quarantine.
 */
struct RoutingSettings {
    Policy policy { Policy::TwoChoices };
    std::string ownFailureDomain;
    double remoteDomainWeight { 1.5 }; /**< Cost factor for upstreams in other failure domains. */
    std::map<std::string, double> domainWeights; /**< Cost factors by failure domain; override remoteDomainWeight. */
    bool limitInFlight { true }; /**< Limits the calls to an upstream and the searches of a service. */
    double searchesPerCall { 2 }; /**< Factor on the lowest in-flight limit of a shard; see searchLimit(). */
    double connectionShare { 0.9 }; /**< Share of an upstream's connection limit that all hosts together use. */
    uint32_t servingHosts { 8 }; /**< Hosts that share an upstream; used until the host view is known. */
    HedgingSettings hedging;
    RetrySettings retries;
    CrashSettings crashes;
    RecoverySettings recovery;
};

/** Returns the baseline for comparisons: random replica, no hedges, no in-flight limit, no canary. */
RoutingSettings plainBaseline();

/** Accepts "random", "leastInFlight", "twoChoices" and "affinity". */
std::optional<Policy> parsePolicy(std::string_view text, base::LastReason& reason);
std::string_view toString(Policy);

/** Accepts "off", "afterCrash" and "always". */
std::optional<CanaryMode> parseCanaryMode(std::string_view text, base::LastReason& reason);

}
