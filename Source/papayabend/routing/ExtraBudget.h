#pragma once

#include "papayabend/base/Time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::routing {

/** \struct SlidingCounts
 * \brief Counts of needed and extra attempts in a sliding window, kept in ten buckets. Not thread-safe.
 */
struct SlidingCounts {
    static constexpr size_t bucketCount = 10;
    struct Bucket {
        int64_t number { -1 }; /**< Index of the interval, counted from the epoch of TimePoint; -1 if unused. */
        uint64_t needed { 0 };
        uint64_t extra { 0 };
    };
    std::array<Bucket, bucketCount> buckets;
};

/** Adds attempts to the bucket that contains \a now; all buckets together span \a window. */
void count(SlidingCounts&, base::Duration window, base::TimePoint now, uint64_t needed, uint64_t extra);

/** \struct WindowTotals
 * \brief Sums over a sliding window.
 */
struct WindowTotals {
    uint64_t needed { 0 };
    uint64_t extra { 0 };
};

/** Returns the sums over the \a window that ends at \a now, rounded to whole buckets. */
WindowTotals totals(const SlidingCounts&, base::Duration window, base::TimePoint now);

/** \class ExtraBudget
 * \brief Bounds the ratio of extra to needed attempts, on the host as a whole and for each client account.
 *
 * Thread-safe.
 */
class ExtraBudget {
public:
    /** Records first attempts, which the requests of the client account need in any case. */
    void recordNeeded(std::string_view account, uint64_t count, base::Duration window, base::TimePoint now);

    /**
     * Takes one extra attempt if both the host and the client account stay within \a share of their needed attempts or
     * within \a burst. Returns whether it did.
     */
    bool tryTake(std::string_view account, double share, uint64_t burst, base::Duration window, base::TimePoint now);

    /** Returns the totals of the host over all client accounts. */
    WindowTotals hostTotals(base::Duration window, base::TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    SlidingCounts m_host;
    std::unordered_map<std::string, SlidingCounts> m_accounts;
};

}
