#pragma once

#include "papayabend/base/LastReason.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace papayabend::transport {

/** Parses the body of a request. Refuses one that is not a JSON object, or names a key twice in one object. */
std::optional<nlohmann::ordered_json> parseJsonBody(std::string_view body, base::LastReason& reason);

}
