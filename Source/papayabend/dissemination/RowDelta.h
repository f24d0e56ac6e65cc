#pragma once

#include "papayabend/base/LastReason.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::dissemination {

/** Splits a published text into rows: lines of CSV, or elements of JSON that end with a brace. The rows joined give
 * the text.
 */
std::vector<std::string_view> splitRows(std::string_view text);

/** Returns the change from \a before to \a after: rows to be copied and text to be inserted. */
std::string rowDelta(std::string_view before, std::string_view after);

/** Applies a delta. Fails if it is malformed or names rows that \a before does not have; the caller compares the
 * content hash of the result.
 */
std::optional<std::string> applyRowDelta(std::string_view before, std::string_view delta, base::LastReason& reason);

}
