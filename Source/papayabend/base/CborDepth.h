#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace papayabend::base {

/** Returns whether \a bytes begin with a CBOR item that nests at most \a maxDepth arrays and maps in each other.
 *
 * Parsers recurse for each level, so that input from the network must be checked before. Tags and items of indefinite
 * length are not accepted.
 */
bool isCborOfDepth(std::span<const uint8_t> bytes, size_t maxDepth);

}
