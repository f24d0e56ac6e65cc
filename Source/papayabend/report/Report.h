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

/** Windows over which the burn of error budgets is reported. */
constexpr std::array<base::Duration, 4> burnWindows { std::chrono::minutes(5), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::hours(72) };
constexpr std::array<std::string_view, 4> burnWindowNames { "5m", "1h", "6h", "3d" };

/** Latency buckets: bucket n holds answers of at most 1 ms * 1.1^n; the last one holds all slower ones. */
constexpr size_t latencyBuckets = 96;

/** Returns the bucket of an answer's latency. */
size_t latencyBucket(base::Duration);
/** Returns the upper bound of a bucket; the last bucket has none and gives that of the one before it. */
base::Duration bucketBound(size_t bucket);

/** \struct Counts
 * \brief Requests of one client account for one service, as the service-level objectives see them.
 */
struct Counts {
    uint64_t requests { 0 }; /**< Without those that countsAgainstCaller(). */
    uint64_t answered { 0 };
    uint64_t failed { 0 }; /**< Refused or failed, for another reason than the caller's. */
    uint64_t late { 0 }; /**< Answers above the latency objective. */
    uint64_t incomplete { 0 }; /**< Answers that cover less than the whole snapshot. */

    Counts& operator+=(const Counts&);
    Counts operator-(const Counts&) const;
    bool operator==(const Counts&) const = default;
};

/** Returns whether a refusal is the caller's doing or the table's limit, and so spends no error budget. */
bool countsAgainstCaller(base::RefusalCode);

/** \struct WindowCounts
 * \brief Counts of one window. A younger process has observed less than the window.
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
    double coverageSum { 0 }; /**< Over answers; 1 for a complete one. */
    uint64_t attempts { 0 }; /**< Calls to upstreams for answers. */
    uint64_t neededAttempts { 0 }; /**< One for each shard of an answer, or one for an execution. */
    std::map<std::string, uint64_t> refusals; /**< By refusal code, the caller's own included. */
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
 * \brief Speed at which error budgets are spent; 1 spends the whole budget in the objective's period.
 */
struct BurnRates {
    double availability { 0 };
    double latency { 0 };
    double coverage { 0 };
};

/** Returns 0 for an objective that is not set. */
BurnRates burnRates(const Counts&, const table::Objective&);

/** Returns the upper bound of the latency of the \a share fastest answers; 0 without answers. */
base::Duration latencyQuantile(const Line&, double share);

/** Returns the mean coverage of answers; 1 without answers. */
double meanCoverage(const Line&);
/** Returns calls to upstreams over needed ones; 1 without calls. */
double extraLoad(const Line&);
/** Returns answers per second in the shortest window. */
double received(const Line&);
/** Returns refusal codes with their counts, the most frequent first. */
std::vector<std::pair<std::string, uint64_t>> topRefusals(const Line&, size_t count);

/** Adds the reports of several hosts; a host that occurs twice is taken once. */
Report mergeReports(std::span<const Report>);
/** Returns one line for each service over all accounts. */
std::vector<Line> fleetLines(const Report&);

std::string renderTerminal(const Report&);
std::string renderJson(const Report&);
/** Returns a page that needs no other file. */
std::string renderHtml(const Report&);
/** Reads what renderJson() wrote. Fails with the text of the first entry that is not valid. */
std::optional<Report> parseReport(std::string_view json, base::LastReason& reason);

}
