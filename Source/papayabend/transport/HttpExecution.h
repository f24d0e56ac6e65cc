#pragma once

#include "papayabend/engine/Engine.h"
#include "papayabend/transport/Shell.h"

namespace httplib {
class Server;
}

namespace papayabend::transport {

/** Adds the routes for non-idempotent requests and entry hosts:
 * POST /v1/tickets, POST /v1/execute, GET /v1/outcomes/TICKET and GET /v1/entry-hosts.
 */
void addExecutionRoutes(httplib::Server&, engine::Engine&, Shell&);

}
