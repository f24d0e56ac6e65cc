#include "papayabend/base/Time.h"

#include <ctime>

namespace papayabend::base {

BootClock::time_point BootClock::now() noexcept
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    auto sinceBoot = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    return time_point(std::chrono::duration_cast<Duration>(sinceBoot));
}

}
