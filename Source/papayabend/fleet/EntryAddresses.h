#pragma once

#include "papayabend/fleet/Roles.h"

#include <string>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** Returns the caller addresses of the hosts that a caller in \a failureDomain should use, at most \a limit.
 *
 * These are the serving hosts of the caller's failure domain, or all ready hosts if it has fewer than two. If most of
 * the fleet seems to have failed at once, this host itself has probably lost its connection to the others; hosts that
 * are silent but not yet removed are then included.
 */
std::vector<std::string> entryAddresses(
    const FleetView&, std::string_view failureDomain, const ServingSettings&, size_t limit, base::TimePoint now);

}
