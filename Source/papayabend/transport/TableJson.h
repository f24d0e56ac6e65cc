#pragma once

#include "papayabend/table/Table.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayabend::transport {

/** Returns version, services, grants by account and service, and objectives by service. */
nlohmann::ordered_json toJson(const table::Table&);

/** Reads a table in the form of toJson(). */
std::optional<table::Table> parseTableJson(const nlohmann::ordered_json&, base::LastReason& reason);

}
