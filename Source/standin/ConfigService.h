#pragma once

#include <string>

namespace papayabend::standin {

/** Serves GET /v1/values/<key> from files of \a folder until the process ends. Returns false if it cannot listen. */
bool serveConfig(const std::string& ip, int port, const std::string& folder);

}
