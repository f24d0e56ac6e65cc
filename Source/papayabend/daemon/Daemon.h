#pragma once

#include "papayabend/settings/Settings.h"

namespace papayabend::daemon {

/** Runs the host until SIGTERM or SIGINT; returns the exit code of the process. */
int run(const settings::Settings&);

}
