#pragma once

#include "papayabend/engine/SharedState.h"

#include <string_view>
#include <vector>

namespace papayabend::engine {

/**
 * Returns the hosts that serve a service, sorted by name: all hosts of the view if the connection limits of the
 * service's upstreams allow that many, else a serving set of the allowed size. Empty for an unknown service.
 */
std::vector<membership::HostObservation> servingHosts(const SharedState&, std::string_view service);

}
