#pragma once

#include "papayabend/membership/Observation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::membership {

/** \struct HostIdentity
 * \brief Name, addresses and location of this host, from the settings of the process.
 */
struct HostIdentity {
    std::string name;
    std::string callerAddress; /**< IP address and port for callers. */
    std::string peerAddress; /**< IP address and port for other hosts. */
    std::string failureDomain;
    std::string region;
    uint64_t incarnation { 0 }; /**< Set at process start; higher than that of the previous process on this host. */
    std::vector<std::string> seeds; /**< Peer addresses to contact at start. */
};

/** \struct HostView
 * \brief Newest known state of all hosts, including this one. Immutable once published.
 */
struct HostView {
    uint64_t listVersion { 0 }; /**< Version of the newest host list applied; 0: none yet. */
    std::vector<HostObservation> hosts; /**< Sorted by name. Removed hosts are absent. */
};

/** Returns the host named \a name, or null. */
const HostObservation* findHost(const HostView&, std::string_view name);

/** Returns whether callers and other hosts may send new requests to the host. */
constexpr bool isServing(const HostObservation& host) { return host.state == HostState::Serving; }

}
