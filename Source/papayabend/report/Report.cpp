#include "papayabend/report/Report.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace papayabend::report {

namespace {

    constexpr double firstBound = 1000; // microseconds
    constexpr double growth = 1.1;

    double burnOf(uint64_t bad, uint64_t all, double target)
    {
        if (all == 0 || target <= 0 || target >= 1)
            return 0;
        return static_cast<double>(bad) / static_cast<double>(all) / (1 - target);
    }

    void add(Line& to, const Line& from)
    {
        for (size_t n = 0; n < to.windows.size(); ++n) {
            to.windows[n].counts += from.windows[n].counts;
            to.windows[n].observed = std::max(to.windows[n].observed, from.windows[n].observed);
        }
        to.total += from.total;
        for (size_t n = 0; n < to.latencies.size(); ++n)
            to.latencies[n] += from.latencies[n];
        to.coverageSum += from.coverageSum;
        to.attempts += from.attempts;
        to.neededAttempts += from.neededAttempts;
        for (const auto& [code, count] : from.refusals)
            to.refusals[code] += count;
    }

}

size_t latencyBucket(base::Duration latency)
{
    auto n = std::ceil(std::log(static_cast<double>(latency.count()) / firstBound) / std::log(growth));
    // The comparison is also false for the logarithm of 0 and of a negative number.
    if (!(n > 0))
        return 0;
    return std::min(static_cast<size_t>(std::min(n, static_cast<double>(latencyBuckets))), latencyBuckets - 1);
}

base::Duration bucketBound(size_t bucket)
{
    auto n = std::min(bucket, latencyBuckets - 2);
    return base::Duration(static_cast<base::Duration::rep>(firstBound * std::pow(growth, static_cast<double>(n))));
}

Counts& Counts::operator+=(const Counts& other)
{
    requests += other.requests;
    answered += other.answered;
    failed += other.failed;
    late += other.late;
    incomplete += other.incomplete;
    return *this;
}

Counts Counts::operator-(const Counts& other) const
{
    return { requests - other.requests, answered - other.answered, failed - other.failed, late - other.late,
        incomplete - other.incomplete };
}

bool countsAgainstCaller(base::RefusalCode code)
{
    using enum base::RefusalCode;
    constexpr std::array codes { BadRequest, BodyTooLarge, UnknownAccount, UnknownService, AccessDenied, LimitReached,
        Quarantined, TicketMissing, TicketInvalid, TicketExpired };
    return std::ranges::find(codes, code) != codes.end();
}

BurnRates burnRates(const Counts& counts, const table::Objective& objective)
{
    return { burnOf(counts.failed, counts.requests, objective.availability),
        burnOf(counts.late, counts.answered, objective.latencyTarget),
        burnOf(counts.incomplete, counts.answered, objective.coverage) };
}

base::Duration latencyQuantile(const Line& line, double share)
{
    uint64_t all = 0;
    for (auto count : line.latencies)
        all += count;
    if (all == 0)
        return {};
    auto wanted = static_cast<uint64_t>(std::ceil(share * static_cast<double>(all)));
    uint64_t seen = 0;
    for (size_t n = 0; n < line.latencies.size(); ++n) {
        seen += line.latencies[n];
        if (seen >= wanted)
            return bucketBound(n);
    }
    return bucketBound(latencyBuckets - 1);
}

double meanCoverage(const Line& line)
{
    return line.total.answered == 0 ? 1 : line.coverageSum / static_cast<double>(line.total.answered);
}

double extraLoad(const Line& line)
{
    return line.neededAttempts == 0 ? 1 : static_cast<double>(line.attempts) / static_cast<double>(line.neededAttempts);
}

double received(const Line& line)
{
    auto seconds = static_cast<double>(line.windows[0].observed.count()) / 1e6;
    return seconds > 0 ? static_cast<double>(line.windows[0].counts.answered) / seconds : 0;
}

std::vector<std::pair<std::string, uint64_t>> topRefusals(const Line& line, size_t count)
{
    std::vector<std::pair<std::string, uint64_t>> all(line.refusals.begin(), line.refusals.end());
    std::ranges::stable_sort(all, std::greater {}, &std::pair<std::string, uint64_t>::second);
    all.resize(std::min(all.size(), count));
    return all;
}

Report mergeReports(std::span<const Report> reports)
{
    Report merged;
    std::set<std::string> hosts;
    std::map<std::pair<std::string, std::string>, Line> lines;
    for (const auto& report : reports) {
        bool isKnown = std::ranges::any_of(report.hosts, [&](const auto& host) { return hosts.contains(host); });
        if (isKnown)
            continue;
        hosts.insert(report.hosts.begin(), report.hosts.end());
        if (report.tableVersion > 0)
            merged.tableVersion
                = merged.tableVersion == 0 ? report.tableVersion : std::min(merged.tableVersion, report.tableVersion);
        for (const auto& line : report.lines) {
            auto [it, isNew] = lines.try_emplace({ line.account, line.service }, line);
            if (isNew)
                continue;
            add(it->second, line);
            // Every host reports the grant of the whole fleet.
            it->second.granted = std::max(it->second.granted, line.granted);
        }
    }
    merged.hosts.assign(hosts.begin(), hosts.end());
    merged.lines.reserve(lines.size());
    for (auto& [key, line] : lines)
        merged.lines.push_back(std::move(line));
    return merged;
}

std::vector<Line> fleetLines(const Report& report)
{
    std::map<std::string, Line> services;
    for (const auto& line : report.lines) {
        auto [it, isNew] = services.try_emplace(line.service, line);
        // GCC 12 warns falsely (-Wrestrict) if a literal is assigned here.
        it->second.account.assign(1, '*');
        if (isNew)
            continue;
        add(it->second, line);
        it->second.granted += line.granted;
    }
    std::vector<Line> lines;
    lines.reserve(services.size());
    for (auto& [service, line] : services)
        lines.push_back(std::move(line));
    return lines;
}

}
