#include "papayabend/fleet/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace papayabend::fleet {

void observe(LoadEstimate& load, uint64_t count, base::TimePoint now)
{
    auto age = now - load.countedAt;
    if (age < minLoadInterval)
        return;
    auto rate = static_cast<double>(count - load.count) / std::chrono::duration<double>(age).count();
    auto kept = load.perSecond * std::exp2(-std::chrono::duration<double>(age) / loadHalfLife);
    // The counter starts at 0 with the process, so that the first interval counts like the others.
    load = { std::max(rate, kept), count, now };
}

}
