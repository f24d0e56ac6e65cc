#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::standin {

/** \struct Behaviour
 * \brief Faults and speed of one upstream; may be changed while it runs.
 */
struct Behaviour {
    base::Duration serviceTime { 2000 }; /**< Median. */
    double serviceTimeSigma { 0.3 }; /**< Of the log-normal distribution; 0: every call takes the median. */
    double stragglerShare { 0 };
    double stragglerFactor { 20 };
    double failureShare { 0 }; /**< Calls that run and then end with the gRPC status UNAVAILABLE. */
    uint32_t queueLength { 64 }; /**< Calls that wait for a slot; more are shed. */
    base::Duration coldStart { 0 }; /**< Time after a start in which calls take coldFactor times as long. */
    double coldFactor { 5 };
    base::Duration restart { 2'000'000 }; /**< Time for which connections are refused after a crash. */
    std::string crashMarker { "crash-upstream" }; /**< A request that contains it ends the upstream. Empty: none. */
    bool isDraining { false };
    bool isDown { false }; /**< Refuses connections. */
    bool misleadsOnLoad { false }; /**< Reports no load whatever the load is. */
    bool honoursCancellation { true };
    bool honoursDeadline { true };
};

/** \struct PlatformBehaviour
 * \brief Faults of the configuration service and the host list.
 */
struct PlatformBehaviour {
    uint32_t readsPerSecond { 2000 };
    bool isDown { false };
    bool isStale { false }; /**< Answers with the values that were in force when this was set. */
    base::Duration hostListLag { 2'000'000 };
};

/** \struct StandinSettings
 * \brief One process with all upstreams of a deployment and its platform.
 */
struct StandinSettings {
    std::string deployment { "muscat" }; /**< "muscat" or "sul". */
    uint32_t scalePercent { 100 }; /**< Part of the shards and pool members of the deployment. */
    std::string ip { "127.0.0.1" };
    uint32_t platformPort { 0 }; /**< 0: chosen by the system. */
    uint32_t platformThreads { 64 };
    uint32_t firstUpstreamPort { 0 }; /**< 0: each port is chosen by the system. */
    uint32_t unitsPerShard { 1000 };
    uint32_t seed { 1 };
    std::string folder; /**< Holds one file for each published value. */
    Behaviour upstreams;
    PlatformBehaviour platform;
};

std::optional<StandinSettings> readSettings(const std::string& file, base::LastReason& reason);

/** Applies the keys of a JSON object to \a behaviour; others stay. Returns false with a reason on any error. */
bool change(Behaviour& behaviour, std::string_view text, base::LastReason& reason);
bool change(PlatformBehaviour& behaviour, std::string_view text, base::LastReason& reason);

}
