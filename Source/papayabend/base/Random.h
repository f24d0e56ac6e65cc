#pragma once

#include <cstdint>
#include <random>

namespace papayabend::base {

/** Seeded generator. Decision modules receive it as an argument, so that a run can be repeated with the same seed. */
using Random = std::mt19937_64;

/** Returns a uniformly distributed number in [0, 1). */
inline double uniform(Random& random) { return static_cast<double>(random() >> 11) * 0x1.0p-53; }

/** Returns a random index in [0, \a count); \a count must not be 0. */
inline size_t uniformIndex(Random& random, size_t count) { return static_cast<size_t>(random() % count); }

}
