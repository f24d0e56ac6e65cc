#pragma once

#include <chrono>
#include <cstdint>

namespace papayabend::base {

using Duration = std::chrono::microseconds;

/** \struct BootClock
 * \brief Clock based on CLOCK_BOOTTIME, which also advances while the machine is suspended.
 *
 * Decision modules never read it; they receive the current time as an argument.
 */
struct BootClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name set by the clock requirements

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

/** Returns \a duration in whole milliseconds, rounded towards zero. */
constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
