#include "papayabend/fleet/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace papayabend::fleet {

void observe(LoadEstimate& load, uint64_t count, base::TimePoint now, base::Duration halfLife)
{
    auto age = now - load.countedAt;
    if (age < minLoadInterval)
        return;
    auto rate = static_cast<double>(count - load.count) / std::chrono::duration<double>(age).count();
    auto decayed = load.perSecond * std::exp2(-std::chrono::duration<double>(age) / halfLife);
    // The counter starts at 0 with the process, so the first interval needs no special case.
    load = { std::max(rate, decayed), count, now };
}

}
