#pragma once

#include "papayabend/gateway/GatewaySettings.h"
#include "papayabend/gateway/PlatformAdapter.h"

#include <string>

namespace papayabend::gateway {

/** Runs a gateway until it is told to stop; returns the exit status of the process.
 *
 * \a file is read again on SIGHUP and when it changes; settings that are refused leave the old ones in force.
 */
int run(const GatewaySettings&, const std::string& file, const PlatformAdapter&);

}
