#pragma once

#include "papayabend/membership/Observation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::membership {

/** \struct HostIdentity
 * \brief What a process knows of itself from its settings.
 */
struct HostIdentity {
    std::string name;
    std::string callerAddress; /**< IP address and port for callers. */
    std::string peerAddress; /**< IP address and port for other hosts. */
    std::string failureDomain;
    std::string region;
    uint64_t incarnation { 0 }; /**< Set at process start; higher than that of the previous process. */
    std::vector<std::string> seeds; /**< Peer addresses to ask at start. */
};

/** \struct HostView
 * \brief Hosts as this host knows them, itself included. Immutable once published.
 */
struct HostView {
    uint64_t listVersion { 0 }; /**< Newest host list taken; 0: none yet. */
    std::vector<HostObservation> hosts; /**< Sorted by name. Removed hosts are absent. */
};

/** Returns the host called \a name, or null. */
const HostObservation* findHost(const HostView&, std::string_view name);

/** Returns whether callers and other hosts may send the host new work. */
constexpr bool isServing(const HostObservation& host) { return host.state == HostState::Serving; }

}
