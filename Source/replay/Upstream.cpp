#include "replay/Upstream.h"

#include <cmath>
#include <numbers>

namespace papayabend::replay {

namespace {

    // SplitMix64: turns a key and a counter into an independent number in (0, 1].
    double uniformOf(uint64_t key, uint64_t counter)
    {
        uint64_t n = key + (counter + 1) * 0x9E3779B97F4A7C15ULL;
        n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ULL;
        n = (n ^ (n >> 27)) * 0x94D049BB133111EBULL;
        n ^= n >> 31;
        return static_cast<double>((n >> 11) + 1) * 0x1.0p-53;
    }

}

base::Duration serviceTimeOf(const ServiceTime& distribution, uint64_t key)
{
    auto median = static_cast<double>(distribution.median.count());
    if (distribution.stragglerShare > 0 && uniformOf(key, 0) <= distribution.stragglerShare)
        median *= distribution.stragglerFactor;
    if (distribution.sigma > 0) {
        // Box-Muller transform.
        double radius = std::sqrt(-2 * std::log(uniformOf(key, 1)));
        median *= std::exp(distribution.sigma * radius * std::cos(2 * std::numbers::pi * uniformOf(key, 2)));
    }
    return base::Duration(static_cast<base::Duration::rep>(median) + 1);
}

}
