#include "papayabend/base/Hash.h"

#include <xxhash.h>

namespace papayabend::base {

uint64_t hash(std::string_view text, uint64_t seed) { return XXH3_64bits_withSeed(text.data(), text.size(), seed); }

uint64_t rendezvousScore(std::string_view key, std::string_view candidate) { return hash(candidate, hash(key)); }

}
