#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/table/Table.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::report {

/** Windows over which burn rates of the error budgets are reported. */
constexpr std::array<base::Duration, 4> burnWindows { std::chrono::minutes(5), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::hours(72) };
constexpr std::array<std::string_view, 4> burnWindowNames { "5m", "1h", "6h", "3d" };

/** Latency buckets: bucket n holds answers of at most 1 ms * 1.1^n; the last one holds all slower ones. */
constexpr size_t latencyBuckets = 96;

/** Returns the bucket of an answer's latency. */
size_t latencyBucket(base::Duration);
/** Returns the upper bound of a bucket. The last bucket is unbounded; the bound of the last but one is returned. */
base::Duration bucketBound(size_t bucket);

/** \struct Counts
 * \brief Requests of one client account for one service, as counted for the service-level objectives.
 */
struct Counts {
    uint64_t requests { 0 }; /**< Excludes refusals for which countsAgainstCaller() holds. */
    uint64_t answered { 0 };
    uint64_t failed { 0 }; /**< Refused or failed requests, except those for which countsAgainstCaller() holds. */
    uint64_t late { 0 }; /**< Answers above the latency objective. */
    uint64_t incomplete { 0 }; /**< Answers that cover less than the whole snapshot. */

    Counts& operator+=(const Counts&);
    Counts operator-(const Counts&) const;
    bool operator==(const Counts&) const = default;
};

/** Returns whether a refusal is due to the caller or to the limit in the table, and so spends no error budget. */
bool countsAgainstCaller(base::RefusalCode);

/** \struct WindowCounts
 * \brief Counts of one window. The observed time is shorter than the window if the process started within it.
 */
struct WindowCounts {
    Counts counts;
    base::Duration observed {};
};

/** \struct Line
 * \brief Report of one client account and service. The account "*" stands for all accounts.
 */
struct Line {
    std::string account;
    std::string service;
    table::Objective objective;
    std::array<WindowCounts, burnWindows.size()> windows;
    Counts total; /**< Since the start of the process. */
    std::array<uint64_t, latencyBuckets> latencies {}; /**< Answers since the start, by bucket. */
    double coverageSum { 0 }; /**< Sum of the coverage of all answers; a complete answer adds 1. */
    uint64_t attempts { 0 }; /**< Calls to upstreams for answers. */
    uint64_t neededAttempts { 0 }; /**< One for each shard of an answer, or one for an execution. */
    std::map<std::string, uint64_t> refusals; /**< By refusal code, including refusals due to the caller. */
    double granted { 0 }; /**< Requests per second over the fleet that the allocation grants now; 0 if unknown. */
};

/** \struct Report
 * \brief Report of one host, or of several after mergeReports().
 */
struct Report {
    std::vector<std::string> hosts;
    uint64_t tableVersion { 0 }; /**< Lowest version in force. */
    std::vector<Line> lines; /**< Sorted by account and service. */
};

/** \struct BurnRates
 * \brief Rates at which error budgets are spent; a rate of 1 spends the whole budget in the period of the objective.
 */
struct BurnRates {
    double availability { 0 };
    double latency { 0 };
    double coverage { 0 };
};

/** Returns the burn rates; a rate is 0 if its objective is not set. */
BurnRates burnRates(const Counts&, const table::Objective&);

/** Returns the upper bound of the latency of the \a share fastest answers; 0 without answers. */
base::Duration latencyQuantile(const Line&, double share);

/** Returns the mean coverage of answers; 1 without answers. */
double meanCoverage(const Line&);
/** Returns the ratio of calls to upstreams to needed calls; 1 if none were needed. */
double extraLoad(const Line&);
/** Returns answers per second in the shortest window. */
double received(const Line&);
/** Returns refusal codes with their counts, the most frequent first. */
std::vector<std::pair<std::string, uint64_t>> topRefusals(const Line&, size_t count);

/** Adds the reports of several hosts; a host that occurs twice is counted once. */
Report mergeReports(std::span<const Report>);
/** Returns one line for each service over all accounts. */
std::vector<Line> fleetLines(const Report&);

std::string renderTerminal(const Report&);
std::string renderJson(const Report&);
/** Returns a self-contained HTML page. */
std::string renderHtml(const Report&);
/** Returns counters in the Prometheus text format, to be appended to the other metrics of a host. */
std::string renderMetrics(const Report&);
/** Parses the output of renderJson(). On failure, \a reason describes the first invalid entry. */
std::optional<Report> parseReport(std::string_view json, base::LastReason& reason);

}
