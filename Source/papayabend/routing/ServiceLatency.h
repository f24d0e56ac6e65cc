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
 * \brief Recent attempt latencies in logarithmic buckets; older ones lose weight.
 */
struct LatencyHistogram {
    static constexpr size_t bucketsPerDoubling = 8;
    static constexpr size_t buckets = bucketsPerDoubling * 24; /**< From 16 us to several minutes. */
    static constexpr uint32_t agingPeriod = 4096; /**< Counts are halved after this many samples. */
    std::array<double, buckets> counts {};
    double total { 0 };
    uint32_t sinceAging { 0 };
};

void record(LatencyHistogram&, base::Duration);

/** Returns the upper bound of the bucket that holds the quantile \a q, or zero without samples. */
base::Duration quantile(const LatencyHistogram&, double q);

/** \class ServiceLatencies
 * \brief Attempt latencies and recent overload by service. Safe for use by several threads.
 */
class ServiceLatencies {
public:
    void record(std::string_view service, base::Duration);

    /** Returns the quantile \a q, or \a initial until 50 attempts were recorded. */
    base::Duration quantile(std::string_view service, double q, base::Duration initial) const;

    /** Records attempts and how many of them were shed or had to wait for a slot. */
    void recordPressure(std::string_view service, uint64_t attempts, uint64_t refused, base::TimePoint now);

    /** Returns whether more than \a share of the attempts of the last 2 s were shed or had to wait. */
    bool isOverloaded(std::string_view service, double share, base::TimePoint now) const;

private:
    struct Entry {
        mutable std::mutex mutex;
        LatencyHistogram histogram;
        SlidingCounts pressure;
    };
    std::shared_ptr<Entry> find(std::string_view service) const;
    Entry& entry(std::string_view service);

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<Entry>> m_services;
};

}
