#pragma once

#include "papayabend/table/Table.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayabend::transport {

/** Returns version, services, grants by account and service, and objectives by service. */
nlohmann::ordered_json toJson(const table::Table&);

/**
 * Returns one line for each grant and objective that differs between two tables in the form of toJson(): "+" added,
 * "-" removed, "~" changed.
 */
std::vector<std::string> tableDifferences(const nlohmann::ordered_json& before, const nlohmann::ordered_json& after);

}
