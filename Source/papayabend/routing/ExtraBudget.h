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
 * \brief Needed and extra attempts in a sliding window of ten parts. Not safe for use by several threads.
 */
struct SlidingCounts {
    static constexpr size_t bucketCount = 10;
    struct Bucket {
        int64_t number { -1 }; /**< Number of the part since the epoch of TimePoint. */
        uint64_t needed { 0 };
        uint64_t extra { 0 };
    };
    std::array<Bucket, bucketCount> buckets;
};

/** Adds attempts to the part of \a window that \a now falls into. */
void count(SlidingCounts&, base::Duration window, base::TimePoint now, uint64_t needed, uint64_t extra);

struct WindowTotals {
    uint64_t needed { 0 };
    uint64_t extra { 0 };
};
WindowTotals totals(const SlidingCounts&, base::Duration window, base::TimePoint now);

/** \class ExtraBudget
 * \brief Bounds extra attempts relative to needed ones, for the host and for each client account.
 *
 * Safe for use by several threads.
 */
class ExtraBudget {
public:
    /** Records attempts that the client account's requests need. */
    void needed(std::string_view account, uint64_t count, base::Duration window, base::TimePoint now);

    /** Takes one extra attempt of the budget \a share; returns whether host and client account have it left. */
    bool tryTake(std::string_view account, double share, uint64_t burst, base::Duration window, base::TimePoint now);

    /** Returns the host's totals. */
    WindowTotals hostTotals(base::Duration window, base::TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    SlidingCounts m_host;
    std::unordered_map<std::string, SlidingCounts> m_accounts;
};

}
