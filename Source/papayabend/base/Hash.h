#pragma once

#include <cstdint>
#include <string_view>

namespace papayabend::base {

/** Returns the 64-bit xxHash of \a text. The result is the same on every host and in every process. */
uint64_t hash(std::string_view text, uint64_t seed = 0);

/** Returns the rendezvous-hashing score of \a candidate for \a key; the highest score wins. */
uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

}
