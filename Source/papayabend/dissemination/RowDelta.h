#pragma once

#include "papayabend/base/LastReason.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::dissemination {

/** Splits a published text into rows: lines of CSV, or elements of JSON that end with a brace. The
 * concatenated rows equal the text.
 */
std::vector<std::string_view> splitRows(std::string_view text);

/** Returns the delta from \a before to \a after: rows to copy from \a before and text to insert. */
std::string rowDelta(std::string_view before, std::string_view after);

/** Applies \a delta to \a before. Fails if the delta is malformed, refers to rows that \a before does not have, or
 * produces more than 2 MB. The caller must compare the content hash of the result.
 */
std::optional<std::string> applyRowDelta(std::string_view before, std::string_view delta, base::LastReason& reason);

}
