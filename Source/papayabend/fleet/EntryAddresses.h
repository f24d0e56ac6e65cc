#pragma once

#include "papayabend/fleet/Roles.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::fleet {

/** \struct EntryOptions
 * \brief What determines the hosts in an entry answer beside the state of the fleet.
 */
struct EntryOptions {
    /** Failure domains that the operator evacuates; their hosts are named last. */
    std::set<std::string, std::less<>> evacuatedDomains;
    /** Regions by failure domain; failure domains of the caller's region are nearer to it than others. */
    std::map<std::string, std::string, std::less<>> regions;
};

/** Time since its last heartbeat after which a host is in no answer beside a running one, if strong hosts are
 * preferred. */
constexpr base::Duration maxNamedSilence { std::chrono::seconds(8) };

/** Returns the caller addresses of the hosts that a caller in \a failureDomain should use, at most \a limit.
 *
 * These are the serving hosts of the caller's failure domain, or all ready hosts if it has fewer than two. If most of
 * the fleet seems to have failed at once, this host itself has probably lost its connection to the others; hosts that
 * are silent but not yet removed are then included.
 *
 * With prefersStrongHosts, a failure domain with fewer than two ready hosts is completed with the serving hosts of
 * the nearest one with headroom, and one with more load than its hosts can carry with as many as take the excess.
 */
std::vector<std::string> entryAddresses(const FleetView&, std::string_view failureDomain, const ServingSettings&,
    size_t limit, base::TimePoint now, const EntryOptions& = {});

}
