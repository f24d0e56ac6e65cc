#pragma once

#include "papayabend/base/Time.h"

#include <atomic>
#include <cstdint>

namespace papayabend::membership {

/** \class PauseDetector
 * \brief Notices that the process did not run for a while, from gaps between passes of its loop. Thread-safe.
 */
class PauseDetector {
public:
    /** The loop passes every 100 ms; ten missed passes are a pause. */
    static constexpr base::Duration longestGap { std::chrono::seconds(1) };

    /** Records that the process runs at \a now. Returns whether a pause ended; the view is then stale. */
    bool pass(base::TimePoint now)
    {
        auto time = now.time_since_epoch().count();
        auto last = m_lastPass.load();
        // A thread that took the time before the pause arrives with an earlier time.
        while (last < time && !m_lastPass.compare_exchange_weak(last, time)) { }
        if (last == 0 || time - last <= longestGap.count())
            return false;
        m_isStale = true;
        ++m_pauses;
        return true;
    }

    /** Ends the staleness; called when peers or the platform have been asked after the pause and answered. */
    void refreshed() { m_isStale = false; }

    bool isStale() const { return m_isStale; }
    uint64_t pauses() const { return m_pauses; }

private:
    std::atomic<int64_t> m_lastPass { 0 };
    std::atomic<bool> m_isStale { false };
    std::atomic<uint64_t> m_pauses { 0 };
};

}
