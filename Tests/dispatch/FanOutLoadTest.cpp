#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ChooseUpstream.h"
#include "papayabend/dispatch/Gather.h"
#include "papayabend/dispatch/LatencyEstimate.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/dispatch/Subrequest.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <queue>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr size_t shards = 20;
constexpr size_t replicas = 2;
constexpr base::Duration work { 20ms };
constexpr base::Duration objective { 200ms };
constexpr base::Duration pauseLength { 200ms };
constexpr base::Duration pauseInterval { 4500ms };

/** An upstream with two slots that pauses for 200 ms every 4.5 s, each at its own time. */
struct Upstream {
    base::Duration phase {};
    std::array<base::TimePoint, 2> freeAt {};

    base::TimePoint finish(base::TimePoint now, base::Duration duration)
    {
        auto slot = std::ranges::min_element(freeAt);
        auto begin = std::max(*slot, now);
        auto intoCycle = (begin.time_since_epoch() + phase) % pauseInterval;
        if (intoCycle < pauseLength)
            begin += pauseLength - intoCycle;
        *slot = begin + duration;
        return *slot;
    }
};

/** What the callers of a run got. */
struct Outcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t extra { 0 };
    size_t missingShards { 0 };
};

/** Plays fan-outs over paused upstreams in virtual time; hedging may be switched off for comparison. */
class Play {
public:
    explicit Play(bool hedges)
        : m_hedges(hedges)
    {
        for (auto& replicasOfShard : m_upstreams) {
            for (auto& it : replicasOfShard)
                it.phase = base::Duration(static_cast<int64_t>(base::uniform(m_random) * 4.5e6));
        }
        for (auto& replicasOfShard : m_loads) {
            for (auto& load : replicasOfShard)
                load = { .idleConnections = 2, .openConnections = 2, .maxConnections = 4 };
        }
    }

    Outcome run(size_t requests, base::Duration interval)
    {
        auto now = base::TimePoint(1000s);
        for (size_t n = 0; n < requests; ++n, now += interval) {
            settle(now);
            request(now);
        }
        return m_outcome;
    }

private:
    struct Ending {
        base::TimePoint at;
        base::TimePoint sentAt;
        size_t shard;
        size_t replica;
        bool operator>(const Ending& other) const { return at > other.at; }
    };

    /** Takes the answers that have come until \a now into the state of the host. */
    void settle(base::TimePoint now)
    {
        while (!m_endings.empty() && m_endings.top().at <= now) {
            auto it = m_endings.top();
            m_endings.pop();
            auto& load = m_loads[it.shard][it.replica];
            load.sentAt.erase(std::ranges::find(load.sentAt, it.sentAt));
            addLatency(load, it.at - it.sentAt, base::Duration(static_cast<int64_t>(m_latency.median)), it.at);
            addSample(m_latency, it.at - it.sentAt);
        }
    }

    base::TimePoint attempt(size_t shard, std::optional<size_t> tried, base::TimePoint now, size_t& taken)
    {
        std::array<Candidate, replicas> candidates;
        for (size_t n = 0; n < replicas; ++n)
            candidates[n] = { &m_entries[n], &m_loads[shard][n], tried == n, false };
        auto medianLatency = base::Duration(static_cast<int64_t>(m_latency.median));
        taken = *chooseUpstream(candidates, { medianLatency, hedgeDelay(m_latency, objective), now });
        auto duration = base::Duration(static_cast<int64_t>((0.6 + 0.8 * base::uniform(m_random)) * 20'000));
        auto end = m_upstreams[shard][taken].finish(now, duration);
        m_loads[shard][taken].sentAt.push_back(now);
        m_endings.push({ end, now, shard, taken });
        return end;
    }

    void request(base::TimePoint now)
    {
        ++m_outcome.requests;
        auto delay = hedgeDelay(m_latency, objective);
        uint32_t answered = 0;
        for (size_t shard = 0; shard < shards; ++shard) {
            auto service = std::to_string(shard);
            m_budget.addRequest(service, m_settings, now);
            size_t first = 0;
            size_t second = 0;
            auto end = attempt(shard, std::nullopt, now, first);
            auto isLate = end - now > delay;
            if (m_hedges && isLate && m_budget.tryTake(service, m_settings, 1.0 / 8, now)) {
                ++m_outcome.extra;
                end = std::min(end, attempt(shard, first, now + delay, second));
            }
            if (end - now <= objective)
                ++answered;
        }
        m_outcome.missingShards += shards - answered;
        if (answered == shards)
            ++m_outcome.inTime;
    }

    bool m_hedges;
    base::Random m_random { 42 };
    std::array<std::array<Upstream, replicas>, shards> m_upstreams;
    std::array<std::array<UpstreamLoad, replicas>, shards> m_loads;
    std::array<discovery::UpstreamEntry, replicas> m_entries;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    LatencyEstimate m_latency;
    RetryBudgetSettings m_settings { 0.2, 56, 10s };
    RetryBudget m_budget;
    Outcome m_outcome;
};

}

TEST_GROUP(FanOutLoad) {};

// Guards against whole answers that are lost to upstreams that pause, at 90 requests a second over 20 shards, and
// against extra attempts beyond the budget.
TEST(FanOutLoad, PausesCostFewWholeAnswers)
{
    auto with = Play(true).run(3000, 11ms);
    auto without = Play(false).run(3000, 11ms);
    CHECK_TRUE(with.inTime * 100 >= with.requests * 97);
    CHECK_TRUE(with.missingShards * 4 <= without.missingShards);
    CHECK_TRUE(static_cast<double>(with.extra) <= 0.2 * 20 * 3000 + 56 * 20);
}
