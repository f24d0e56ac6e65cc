#pragma once

#include "papayabend/report/Report.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <utility>

namespace papayabend::report {

/** \struct Outcome
 * \brief Result of one caller's request at this host.
 */
struct Outcome {
    std::string_view account;
    std::string_view service;
    base::Duration latency {}; /**< From receipt to reply. */
    std::optional<base::RefusalCode> refusal; /**< Absent for an answer. */
    double coverage { 1 };
    uint32_t attempts { 0 };
    uint32_t neededAttempts { 0 };
};

/** \class BurnRecorder
 * \brief Counts the requests of this host for the error budgets. record() only increments atomics, and tick() copies
 * the running totals into ring buffers, so the counts of a window are the difference of two exact totals. Thread-safe.
 */
class BurnRecorder {
public:
    void record(const Outcome&);

    /** Samples the totals for every window that is due. Must be called at least every few seconds. */
    void tick(base::TimePoint now);
    /** Replaces the objectives with those of the table in force. */
    void setObjectives(const table::Table&);

    /** Returns the requests per second that an account is granted for a service. */
    using Granted = std::function<double(std::string_view account, std::string_view service)>;
    Report report(std::string host, base::TimePoint now, const Granted& granted) const;

private:
    // A reported window is accurate to 1/samplesPerWindow of its length.
    static constexpr size_t samplesPerWindow = 30;
    // Bounds the memory to about 14 MB, regardless of the names that callers send.
    static constexpr size_t maxSeries = 2048;

    struct Sample {
        base::TimePoint at {};
        Counts counts;
    };
    struct RingBuffer {
        std::array<Sample, samplesPerWindow> samples;
        size_t next { 0 };
        size_t size { 0 };
    };
    struct Series {
        std::atomic<uint64_t> answered { 0 };
        std::atomic<uint64_t> failed { 0 };
        std::atomic<uint64_t> late { 0 };
        std::atomic<uint64_t> incomplete { 0 };
        std::atomic<uint64_t> attempts { 0 };
        std::atomic<uint64_t> neededAttempts { 0 };
        std::atomic<uint64_t> missingCoverage { 0 }; // sum of 1 - coverage over answers, in millionths
        std::array<std::atomic<uint64_t>, latencyBuckets> latencies {};
        std::array<std::atomic<uint64_t>, static_cast<size_t>(base::RefusalCode::Internal) + 1> refusals {};
        std::atomic<int64_t> latencyBound { 0 }; // microseconds; 0: no objective
        std::array<RingBuffer, burnWindows.size()> ringBuffers; // guarded by m_ringBufferMutex

        Counts counts() const;
    };
    using Key = std::pair<std::string, std::string>;
    struct KeyLess {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name set by the standard library
        template <typename First, typename Second> bool operator()(const First& first, const Second& second) const
        {
            return std::pair<std::string_view, std::string_view>(first)
                < std::pair<std::string_view, std::string_view>(second);
        }
    };

    Series& series(std::string_view account, std::string_view service);

    mutable std::shared_mutex m_seriesMutex;
    std::map<Key, std::unique_ptr<Series>, KeyLess> m_series;
    std::map<std::string, table::Objective, std::less<>> m_objectives; // guarded by m_seriesMutex
    uint64_t m_tableVersion { 0 };
    mutable std::mutex m_ringBufferMutex;
    base::TimePoint m_start {};
    std::array<base::TimePoint, burnWindows.size()> m_nextSample {};
};

}
