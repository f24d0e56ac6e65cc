#pragma once

#include "standin/ConfigService.h"
#include "standin/UpstreamServer.h"

#include <functional>

namespace httplib {
class Server;
}

namespace papayabend::standin {

/**
 * Adds the paths under /standin, by which tests change faults and read counts: GET executions, connections and
 * calls; POST upstreams?prefix=<p>, platform, snapshot?service=<s>&shards=<n>&spreadMs=<n> and crash?name=<n>.
 * \a publish writes the catalogue file.
 */
void addControlRoutes(httplib::Server&, UpstreamServer&, ConfigService&, const std::function<void()>& publish);

}
