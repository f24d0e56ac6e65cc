#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace papayabend::dispatch {

/** Size of a record in bytes. */
constexpr size_t recordBytes = 16;

/** Returns the \a maxRecords greatest records of \a parts in descending order, compared as unsigned bytes.
 *
 * Equal records are all kept. Bytes at the end of a part that do not make up a whole record are dropped.
 */
std::string mergeRecords(std::span<const std::string_view> parts, size_t maxRecords);

}
