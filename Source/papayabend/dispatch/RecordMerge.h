#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace papayabend::dispatch {

/** Bytes of a record. */
constexpr size_t recordBytes = 16;

/** Returns the greatest \a maxRecords records of \a parts, greatest first, compared byte by byte.
 *
 * Equal records all count. A remainder of a part that is shorter than a record is left out.
 */
std::string mergeRecords(std::span<const std::string_view> parts, size_t maxRecords);

}
