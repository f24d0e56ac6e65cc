#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::cli {

/** Returns the history of the request \a id as lines of text, from the log lines of gateways in \a logs.
 *
 * For each line about the request: what its host knew at that time (configuration, upstreams that the request
 * names, store, pauses), then the request's own fields. Lines that are not JSON are skipped. Empty if no line names the
 * request.
 */
std::vector<std::string> explainRequest(std::istream& logs, std::string_view id);

}
