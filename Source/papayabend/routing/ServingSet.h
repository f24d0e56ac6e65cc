#pragma once

#include "papayabend/catalog/Catalog.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::routing {

/** \struct ServingHost
 * \brief Host that may belong to a serving set.
 */
struct ServingHost {
    std::string name;
    std::string failureDomain;
};

/**
 * Returns the number of hosts that may connect to the service's upstreams: the smallest connection limit times
 * \a connectionShare over \a connectionsPerHost; at least 1.
 */
uint32_t servingSetSize(
    const catalog::Catalog&, const catalog::Service&, uint32_t connectionsPerHost, double connectionShare);

/**
 * Returns the names of the hosts that serve a service, sorted. All hosts if they are at most \a size; otherwise
 * \a size hosts, spread evenly over the failure domains, in each the first by rendezvous hash. Equal on every host
 * that sees the same list, whatever its order.
 */
std::vector<std::string> servingHosts(std::string_view service, std::span<const ServingHost> hosts, uint32_t size);

}
