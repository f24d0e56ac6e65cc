#pragma once

#include <cstdint>
#include <string>

namespace papayabend::membership {

/** \enum HostState
 * \brief What a host announces of itself, or what others hold of it.
 */
enum class HostState : uint8_t {
    Starting,
    Serving,
    Withdrawing, /**< Serves, and is no longer named to callers. */
    Draining,
    Suspected, /**< Silent; gets no forwarded work, its portions of limits stay reserved. */
    Gone,
};

/** \struct HostObservation
 * \brief One host as its peers know it.
 */
struct HostObservation {
    std::string name;
    std::string callerAddress; /**< IP address and port for callers. */
    std::string peerAddress; /**< IP address and port for other hosts. */
    std::string failureDomain;
    std::string region;
    uint64_t incarnation { 0 }; /**< Set at process start; a later process of the host has a higher one. */
    uint64_t heartbeat { 0 }; /**< Counts up while the process runs. */
    HostState state { HostState::Starting };
    double load { 0 }; /**< Share of the host's request capacity in use, 0 to 1. */
};

}
