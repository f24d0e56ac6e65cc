#pragma once

#include <cstddef>
#include <string_view>

namespace papayabend::base {

/** Most values of a JSON text that is parsed into a tree, names of members included. A tree of 2.1 million arrays took
 * 150 MB, so that this many take 30 MB; 2,000 routes to 135 shards each are 300,000 values. */
constexpr size_t maxJsonValues = 400'000;

/** Returns whether a JSON text has at most \a maxValues values. The text need not be valid.
 *
 * A tree takes many times as much memory as its text, so that input from the network must be checked before. Arrays in
 * each other count like others: the parser does not recurse.
 */
bool isJsonOfSize(std::string_view text, size_t maxValues = maxJsonValues);

}
