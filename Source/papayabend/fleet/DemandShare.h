#pragma once

#include "papayabend/fleet/FleetView.h"

namespace papayabend::fleet {

/** Time in which a demand that has ended decays to a half; short, so that its part soon goes to other hosts. */
constexpr base::Duration demandHalfLife { std::chrono::seconds(3) };

/** Returns this host's part, in [0, 1], of a rate that all hosts may use together.
 *
 * Most of the rate is divided by demand, a little equally, so that a host whose demand the others do not know yet may
 * send something. Hosts that fell silent a moment ago keep their part: they may be cut off and still send.
 */
double demandShare(const FleetView&, base::TimePoint now);

/** Returns this host's part of what all hosts may run at once: its demandShare(), less the equal part of known hosts
 * that have been silent for longer. Those may run as cut off from this one; they are forgotten after the removal
 * timeout. */
double admissionShare(const FleetView&, base::TimePoint now);

}
