#pragma once

#include "papayabend/gateway/GatewaySettings.h"
#include "papayabend/gateway/PlatformAdapter.h"

#include <string>

namespace papayabend::gateway {

/** Runs a gateway until SIGTERM or SIGINT; returns the exit status of the process.
 *
 * \a file is read again on SIGHUP and when it changes. Invalid settings leave the old ones in force.
 */
int run(const GatewaySettings&, const std::string& file, const PlatformAdapter&);

}
