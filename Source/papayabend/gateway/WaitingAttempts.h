#pragma once

#include "papayabend/gateway/GatewayState.h"

namespace papayabend::gateway {

/** Ends the attempts that wait for an upstream to which no request may be sent any more: it drains, leaves, is gone, or
 * its failure domain is being evacuated. Their requests try other upstreams, or end. */
void endWaitingForClosed(GatewayState&, base::TimePoint now);

}
