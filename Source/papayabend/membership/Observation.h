#pragma once

#include <cstdint>
#include <string>

namespace papayabend::membership {

/** \enum HostState
 * \brief State of a host, as announced by itself or, for Suspected, as concluded by its peers.
 */
enum class HostState : uint8_t {
    Starting,
    Serving,
    Withdrawing, /**< Still serves, but its address is no longer returned to callers. */
    Draining,
    Suspected, /**< Left a probe unanswered; receives no forwarded requests, and its portions of limits stay reserved.
                */
    Gone,
};

/** \struct HostObservation
 * \brief Identity, heartbeat, state and load of one host, as exchanged between peers.
 */
struct HostObservation {
    std::string name;
    std::string callerAddress; /**< IP address and port for callers. */
    std::string peerAddress; /**< IP address and port for other hosts. */
    std::string failureDomain;
    std::string region;
    uint64_t incarnation { 0 }; /**< Set at process start; a later process of the host has a higher one. */
    uint64_t heartbeat { 0 }; /**< Incremented while the process runs. */
    HostState state { HostState::Starting };
    double load { 0 }; /**< Share of the host's request capacity in use, 0 to 1. */
};

}
