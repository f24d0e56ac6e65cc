#pragma once

#include "papayabend/catalog/Catalog.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::routing {

/** \struct ServingHost
 * \brief Host that can be chosen for a serving set.
 */
struct ServingHost {
    std::string name;
    std::string failureDomain;
};

/**
 * Returns the number of hosts that may connect to the service's upstreams: the lowest connection limit of these
 * upstreams times \a connectionShare, divided by \a connectionsPerHost; at least 1.
 */
uint32_t servingSetSize(
    const catalog::Catalog&, const catalog::Service&, uint32_t connectionsPerHost, double connectionShare);

/**
 * Returns the sorted names of the hosts that serve a service: all hosts if there are at most \a size, otherwise \a size
 * hosts spread evenly over the failure domains, chosen within each domain by rendezvous hash. The result is the same on
 * every host that sees the same hosts, regardless of their order.
 */
std::vector<std::string> servingHosts(std::string_view service, std::span<const ServingHost> hosts, uint32_t size);

}
