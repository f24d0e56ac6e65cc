#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/fleet/FleetView.h"

#include <set>
#include <string>

namespace papayabend::fleet {

/** Returns whether any live host states that it reaches the upstreams; if none does, the upstreams have probably failed
 * themselves, and hosts that do not reach them are no worse than others. */
bool reachesUpstreams(const FleetView&, base::TimePoint now);

/** Returns the peer address of a ready host to pass requests on to; empty if there is none outside \a excluded.
 *
 * Hosts that state that they reach the upstreams come first, then those that do not know, those of the own failure
 * domain before others; one of them at random. */
std::string relayTarget(const FleetView&, const std::set<std::string>& excluded, base::Random&, base::TimePoint now);

}
