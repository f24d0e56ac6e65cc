#include "papayabend/routing/ServiceLatency.h"

#include <algorithm>
#include <cmath>

namespace papayabend::routing {

namespace {

    constexpr double firstBucketUs = 16;
    constexpr double minSamples = 50;
    constexpr base::Duration overloadWindow = std::chrono::seconds(2);

    size_t bucketOf(base::Duration latency)
    {
        auto ratio = std::max(static_cast<double>(latency.count()) / firstBucketUs, 1.0);
        auto n = static_cast<size_t>(std::log2(ratio) * LatencyHistogram::bucketsPerDoubling);
        return std::min(n, LatencyHistogram::buckets - 1);
    }

    base::Duration upperBound(size_t bucket)
    {
        auto doublings = static_cast<double>(bucket + 1) / LatencyHistogram::bucketsPerDoubling;
        return base::Duration(static_cast<int64_t>(firstBucketUs * std::exp2(doublings)));
    }

}

void record(LatencyHistogram& histogram, base::Duration latency)
{
    histogram.counts[bucketOf(latency)] += 1;
    histogram.total += 1;
    if (++histogram.samplesSinceDecay < LatencyHistogram::decayPeriod)
        return;
    histogram.samplesSinceDecay = 0;
    histogram.total /= 2;
    for (auto& it : histogram.counts)
        it /= 2;
}

base::Duration quantile(const LatencyHistogram& histogram, double q)
{
    if (histogram.total == 0)
        return {};
    double below = 0;
    for (size_t n = 0; n < LatencyHistogram::buckets; ++n) {
        below += histogram.counts[n];
        if (below >= q * histogram.total)
            return upperBound(n);
    }
    return upperBound(LatencyHistogram::buckets - 1);
}

std::shared_ptr<ServiceLatencies::Entry> ServiceLatencies::find(std::string_view service) const
{
    std::scoped_lock lock(m_mutex);
    auto it = m_services.find(std::string(service));
    return it == m_services.end() ? nullptr : it->second;
}

ServiceLatencies::Entry& ServiceLatencies::entry(std::string_view service)
{
    std::scoped_lock lock(m_mutex);
    auto& slot = m_services[std::string(service)];
    if (!slot)
        slot = std::make_shared<Entry>();
    return *slot; // Entries are never removed.
}

void ServiceLatencies::record(std::string_view service, base::Duration latency)
{
    auto& it = entry(service);
    std::scoped_lock lock(it.mutex);
    routing::record(it.histogram, latency);
}

void ServiceLatencies::countAttempts(
    std::string_view service, uint64_t sent, uint64_t shedOrWaiting, base::TimePoint now)
{
    auto& it = entry(service);
    std::scoped_lock lock(it.mutex);
    count(it.recentAttempts, overloadWindow, now, sent, shedOrWaiting);
}

bool ServiceLatencies::isOverloaded(std::string_view service, double share, base::TimePoint now) const
{
    auto it = find(service);
    if (!it)
        return false;
    std::scoped_lock lock(it->mutex);
    auto sum = totals(it->recentAttempts, overloadWindow, now);
    return static_cast<double>(sum.extra) > share * static_cast<double>(sum.needed);
}

base::Duration ServiceLatencies::quantile(std::string_view service, double q, base::Duration initial) const
{
    auto entry = find(service);
    if (!entry)
        return initial;
    std::scoped_lock lock(entry->mutex);
    return entry->histogram.total < minSamples ? initial : routing::quantile(entry->histogram, q);
}

}
