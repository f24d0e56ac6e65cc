#pragma once

#include "papayabend/fleet/Roles.h"

#include <string>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** Returns the addresses that a caller in \a failureDomain should use.
 *
 * The serving hosts of the caller's failure domain, if there are two or more; else all ready hosts. When most of the
 * fleet seems to have failed at once, the link of this host is the likelier cause, and hosts that were heard of lately
 * are named too. At most \a limit addresses.
 */
std::vector<std::string> entryAddresses(
    const FleetView&, std::string_view failureDomain, const ServingSettings&, size_t limit, base::TimePoint now);

}
