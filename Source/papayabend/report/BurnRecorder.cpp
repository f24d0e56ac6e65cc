#include "papayabend/report/BurnRecorder.h"

#include <algorithm>

namespace papayabend::report {

namespace {

    // Stands for accounts and services that are not in the table, and for all new ones once maxSeries is reached.
    constexpr std::string_view otherName = "(other)";
    constexpr double millionths = 1e6;

}

Counts BurnRecorder::Series::counts() const
{
    // record() increments answered before late and incomplete. Reading them in the reverse order ensures that neither
    // exceeds answered.
    Counts counts;
    counts.late = late.load();
    counts.incomplete = incomplete.load();
    counts.answered = answered.load();
    counts.failed = failed.load();
    counts.requests = counts.answered + counts.failed;
    return counts;
}

BurnRecorder::Series& BurnRecorder::series(std::string_view account, std::string_view service)
{
    std::pair<std::string_view, std::string_view> key { account, service };
    {
        std::shared_lock lock(m_seriesMutex);
        auto it = m_series.find(key);
        if (it != m_series.end())
            return *it->second;
    }
    std::unique_lock lock(m_seriesMutex);
    if (m_series.size() >= maxSeries)
        key = { otherName, otherName };
    auto& series = m_series[Key(key)];
    if (!series) {
        series = std::make_unique<Series>();
        auto objective = m_objectives.find(key.second);
        if (objective != m_objectives.end())
            series->latencyBound = objective->second.latency.count();
    }
    return *series;
}

void BurnRecorder::record(const Outcome& outcome)
{
    using enum base::RefusalCode;
    bool isNamed = outcome.refusal != UnknownAccount && outcome.refusal != UnknownService;
    auto& it = isNamed ? series(outcome.account, outcome.service) : series(otherName, otherName);
    if (outcome.refusal) {
        ++it.refusals[static_cast<size_t>(*outcome.refusal)];
        if (!countsAgainstCaller(*outcome.refusal))
            ++it.failed;
        return;
    }
    ++it.answered;
    auto bound = it.latencyBound.load();
    if (bound > 0 && outcome.latency.count() > bound)
        ++it.late;
    if (outcome.coverage < 1) {
        ++it.incomplete;
        it.missingCoverage += static_cast<uint64_t>((1 - outcome.coverage) * millionths);
    }
    ++it.latencies[latencyBucket(outcome.latency)];
    it.attempts += outcome.attempts;
    it.neededAttempts += outcome.neededAttempts;
}

void BurnRecorder::tick(base::TimePoint now)
{
    std::shared_lock lock(m_seriesMutex);
    std::scoped_lock ringLock(m_ringBufferMutex);
    if (m_start == base::TimePoint {})
        m_start = now;
    for (size_t window = 0; window < burnWindows.size(); ++window) {
        if (now < m_nextSample[window])
            continue;
        m_nextSample[window] = now + burnWindows[window] / static_cast<int64_t>(samplesPerWindow);
        for (auto& [key, series] : m_series) {
            auto& ringBuffer = series->ringBuffers[window];
            ringBuffer.samples[ringBuffer.next] = { now, series->counts() };
            ringBuffer.next = (ringBuffer.next + 1) % samplesPerWindow;
            ringBuffer.size = std::min(ringBuffer.size + 1, samplesPerWindow);
        }
    }
}

void BurnRecorder::setObjectives(const table::Table& table)
{
    std::unique_lock lock(m_seriesMutex);
    m_tableVersion = table.version;
    m_objectives.clear();
    for (const auto& objective : table.objectives)
        m_objectives.emplace(objective.service, objective);
    for (auto& [key, series] : m_series) {
        auto it = m_objectives.find(key.second);
        series->latencyBound = it == m_objectives.end() ? 0 : it->second.latency.count();
    }
}

Report BurnRecorder::report(std::string host, base::TimePoint now, const Granted& granted) const
{
    std::shared_lock lock(m_seriesMutex);
    std::scoped_lock ringLock(m_ringBufferMutex);
    Report report { { std::move(host) }, m_tableVersion, {} };
    for (const auto& [key, series] : m_series) {
        Line line;
        line.account = key.first;
        line.service = key.second;
        auto objective = m_objectives.find(key.second);
        if (objective != m_objectives.end())
            line.objective = objective->second;
        line.total = series->counts();
        for (size_t n = 0; n < burnWindows.size(); ++n) {
            const auto& ringBuffer = series->ringBuffers[n];
            auto from = now - burnWindows[n];
            // The base is the oldest sample inside the window. If the ring buffer is not full and its first sample is
            // inside the window, the series began inside the window and its base counts are zero.
            Sample base { std::max(m_start, from), {} };
            bool beganInWindow
                = ringBuffer.size < samplesPerWindow && (ringBuffer.size == 0 || ringBuffer.samples[0].at > from);
            for (size_t i = 0; i < ringBuffer.size && !beganInWindow; ++i) {
                const auto& sample
                    = ringBuffer.samples[(ringBuffer.next + samplesPerWindow - ringBuffer.size + i) % samplesPerWindow];
                base = sample;
                if (sample.at >= from)
                    break;
            }
            line.windows[n] = { line.total - base.counts, now - base.at };
        }
        std::ranges::transform(series->latencies, line.latencies.begin(), [](const auto& it) { return it.load(); });
        line.coverageSum = static_cast<double>(line.total.answered)
            - static_cast<double>(series->missingCoverage.load()) / millionths;
        line.attempts = series->attempts.load();
        line.neededAttempts = series->neededAttempts.load();
        for (size_t n = 0; n < series->refusals.size(); ++n) {
            if (auto count = series->refusals[n].load())
                line.refusals[std::string(base::toString(static_cast<base::RefusalCode>(n)))] = count;
        }
        line.granted = granted ? granted(line.account, line.service) : 0;
        report.lines.push_back(std::move(line));
    }
    return report;
}

}
