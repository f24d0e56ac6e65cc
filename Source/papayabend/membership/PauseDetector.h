#pragma once

#include "papayabend/base/Time.h"

#include <atomic>
#include <cstdint>

namespace papayabend::membership {

/** \class PauseDetector
 * \brief Detects pauses of the process as gaps between iterations of its loop. Thread-safe.
 */
class PauseDetector {
public:
    /** Longest gap that is not a pause. The loop runs every 100 ms; ten missed iterations are a pause. */
    static constexpr base::Duration maxGap { std::chrono::seconds(1) };

    /** Records that the process runs at \a now. Returns true if this call ends a pause; the view is then stale. */
    bool pass(base::TimePoint now)
    {
        auto time = now.time_since_epoch().count();
        auto lastRunAt = m_lastRunAt.load();
        // A thread that read the clock before the pause may call with an earlier time; the latest time is kept.
        while (lastRunAt < time && !m_lastRunAt.compare_exchange_weak(lastRunAt, time)) { }
        if (lastRunAt == 0 || time - lastRunAt <= maxGap.count())
            return false;
        m_isStale = true;
        ++m_pauses;
        return true;
    }

    /** Marks the view as current. Called when peers or the platform have answered a request sent after the pause. */
    void refreshed() { m_isStale = false; }

    bool isStale() const { return m_isStale; }
    uint64_t pauses() const { return m_pauses; }

private:
    std::atomic<int64_t> m_lastRunAt { 0 };
    std::atomic<bool> m_isStale { false };
    std::atomic<uint64_t> m_pauses { 0 };
};

}
