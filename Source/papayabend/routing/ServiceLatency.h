#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/routing/ExtraBudget.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayabend::routing {

/** \struct LatencyHistogram
 * \brief Histogram of recent latencies with logarithmic buckets; older samples lose weight.
 */
struct LatencyHistogram {
    static constexpr size_t bucketsPerDoubling = 8;
    static constexpr size_t buckets = bucketsPerDoubling * 24; /**< From 16 us to several minutes. */
    static constexpr uint32_t decayPeriod = 4096; /**< Number of samples after which all counts are halved. */
    std::array<double, buckets> counts {};
    double total { 0 };
    uint32_t samplesSinceDecay { 0 };
};

/** Adds a sample. */
void record(LatencyHistogram&, base::Duration);

/** Returns the upper bound of the bucket that contains the quantile \a q, or zero if there are no samples. */
base::Duration quantile(const LatencyHistogram&, double q);

/** \class ServiceLatencies
 * \brief Latencies and recent overload of each service. Thread-safe.
 */
class ServiceLatencies {
public:
    void record(std::string_view service, base::Duration);

    /** Returns the quantile \a q, or \a initial if there are fewer than 50 samples. */
    base::Duration quantile(std::string_view service, double q, base::Duration initial) const;

    /** Counts attempts that were sent, and attempts that were shed or had to wait for a slot. */
    void countAttempts(std::string_view service, uint64_t sent, uint64_t shedOrWaiting, base::TimePoint now);

    /** Returns whether in the last 2 s the attempts that were shed or had to wait exceed \a share of those sent. */
    bool isOverloaded(std::string_view service, double share, base::TimePoint now) const;

private:
    struct Entry {
        mutable std::mutex mutex;
        LatencyHistogram histogram;
        SlidingCounts recentAttempts; /**< Needed: sent; extra: shed or waiting. */
    };
    std::shared_ptr<Entry> find(std::string_view service) const;
    Entry& entry(std::string_view service);

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<Entry>> m_services;
};

}
