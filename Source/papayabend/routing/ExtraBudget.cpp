#include "papayabend/routing/ExtraBudget.h"

#include <algorithm>

namespace papayabend::routing {

namespace {

    int64_t bucketNumber(base::Duration window, base::TimePoint now)
    {
        auto length = std::max<int64_t>(window.count() / static_cast<int64_t>(SlidingCounts::bucketCount), 1);
        return now.time_since_epoch().count() / length;
    }

    bool allowsOneMore(const WindowTotals& totals, double share, uint64_t burst)
    {
        return static_cast<double>(totals.extra + 1)
            <= std::max(share * static_cast<double>(totals.needed), static_cast<double>(burst));
    }

}

void count(SlidingCounts& counts, base::Duration window, base::TimePoint now, uint64_t needed, uint64_t extra)
{
    auto number = bucketNumber(window, now);
    auto& bucket = counts.buckets[static_cast<size_t>(number) % SlidingCounts::bucketCount];
    if (bucket.number != number)
        bucket = { number, 0, 0 };
    bucket.needed += needed;
    bucket.extra += extra;
}

WindowTotals totals(const SlidingCounts& counts, base::Duration window, base::TimePoint now)
{
    auto number = bucketNumber(window, now);
    WindowTotals sum;
    for (const auto& bucket : counts.buckets) {
        if (bucket.number <= number - static_cast<int64_t>(SlidingCounts::bucketCount) || bucket.number > number)
            continue;
        sum.needed += bucket.needed;
        sum.extra += bucket.extra;
    }
    return sum;
}

void ExtraBudget::recordNeeded(std::string_view account, uint64_t n, base::Duration window, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    count(m_host, window, now, n, 0);
    count(m_accounts[std::string(account)], window, now, n, 0);
}

bool ExtraBudget::tryTake(
    std::string_view account, double share, uint64_t burst, base::Duration window, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    auto& accountCounts = m_accounts[std::string(account)];
    if (!allowsOneMore(totals(m_host, window, now), share, burst)
        || !allowsOneMore(totals(accountCounts, window, now), share, burst))
        return false;
    count(m_host, window, now, 0, 1);
    count(accountCounts, window, now, 0, 1);
    return true;
}

WindowTotals ExtraBudget::hostTotals(base::Duration window, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    return totals(m_host, window, now);
}

}
