#include "papayabend/dispatch/FanOutPressure.h"

#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ConcurrencyLimiter.h"
#include "papayabend/dispatch/Gather.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr size_t hosts = 15;
constexpr uint32_t shards = 20;
constexpr double minShare = 0.95;
constexpr base::Duration objective { 200ms };
constexpr base::Duration fullPause { 30ms };
constexpr uint32_t maxAttempts = 5;

/** An upstream with two slots and a queue of twelve, which turns away what finds the queue full. */
struct Upstream {
    std::array<base::TimePoint, 2> freeAt {};
    size_t pending { 0 };
};

struct Outcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t late { 0 };
    size_t failed { 0 };
    size_t refused { 0 };
};

/** Plays fan-outs of many hosts over shards of two upstreams in virtual time. Each host limits its own fan-outs. */
class Simulation {
public:
    Simulation(bool reportsFailures, uint64_t seed)
        : m_reportsFailures(reportsFailures)
        , m_random(seed)
    {
    }

    Outcome run(double requestsPerSecond, base::Duration length)
    {
        auto interval = base::Duration(static_cast<int64_t>(1e6 / requestsPerSecond));
        for (base::TimePoint at { 100s }; at < base::TimePoint(100s) + length; at += interval)
            schedule(at, [this] { begin(); });
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return m_outcome;
    }

private:
    struct Event {
        base::TimePoint at;
        std::function<void()> run;
        bool operator>(const Event& other) const { return at > other.at; }
    };
    struct FanOut {
        size_t host { 0 };
        base::TimePoint begunAt {};
        std::array<uint32_t, shards> attempts {};
        uint32_t answered { 0 };
        uint32_t failed { 0 };
        bool hasReported { false };
        bool isEnded { false };
    };

    void schedule(base::TimePoint at, std::function<void()> run) { m_events.push({ at, std::move(run) }); }

    void begin()
    {
        ++m_outcome.requests;
        auto fanOut = std::make_shared<FanOut>();
        fanOut->host = base::uniformIndex(m_random, hosts);
        fanOut->begunAt = m_now;
        if (!m_limiters[fanOut->host].tryAcquire("s", {}, m_now)) {
            ++m_outcome.refused;
            return;
        }
        for (size_t shard = 0; shard < shards; ++shard)
            attempt(fanOut, shard);
        schedule(m_now + objective, [this, fanOut] { decide(*fanOut); });
        schedule(m_now + 2 * objective, [this, fanOut] { decide(*fanOut); });
    }

    void attempt(const std::shared_ptr<FanOut>& fanOut, size_t shard)
    {
        if (fanOut->isEnded)
            return;
        auto first = base::uniformIndex(m_random, 2);
        for (auto replica : { first, 1 - first }) {
            auto& upstream = m_upstreams[shard][replica];
            if (upstream.pending < 14)
                return serve(fanOut, upstream);
            ++fanOut->attempts[shard];
        }
        if (fanOut->attempts[shard] < maxAttempts)
            return schedule(m_now + fullPause, [this, fanOut, shard] { attempt(fanOut, shard); });
        ++fanOut->failed;
        decide(*fanOut);
    }

    void serve(const std::shared_ptr<FanOut>& fanOut, Upstream& upstream)
    {
        ++upstream.pending;
        auto slot = std::ranges::min_element(upstream.freeAt);
        auto work = base::Duration(static_cast<int64_t>((0.6 + 0.8 * base::uniform(m_random)) * 20'000));
        *slot = std::max(*slot, m_now) + work;
        schedule(*slot, [this, fanOut, &upstream] {
            --upstream.pending;
            ++fanOut->answered;
            decide(*fanOut);
        });
    }

    void decide(FanOut& fanOut)
    {
        if (fanOut.isEnded)
            return;
        auto step = decideGather({ shards, fanOut.answered, fanOut.failed }, minShare,
            { fanOut.begunAt + objective, fanOut.begunAt + 2 * objective }, m_now);
        report(fanOut, step == GatherStep::Fail);
        if (step == GatherStep::Wait)
            return;
        fanOut.isEnded = true;
        m_limiters[fanOut.host].release("s", {}, m_now - fanOut.begunAt);
        if (step == GatherStep::Fail)
            ++m_outcome.failed;
        else
            ++(m_now - fanOut.begunAt <= objective ? m_outcome.inTime : m_outcome.late);
    }

    void report(FanOut& fanOut, bool hasFailed)
    {
        FanOutProgress progress { shards, fanOut.answered, fanOut.failed, m_reportsFailures ? fanOut.failed : 0,
            m_now - fanOut.begunAt, objective, hasFailed };
        auto load = fanOut.hasReported && !hasFailed ? std::nullopt : loadMet(progress);
        if (!load)
            return;
        fanOut.hasReported = true;
        m_limiters[fanOut.host].observe("s", *load, m_now);
    }

    bool m_reportsFailures;
    base::Random m_random;
    base::TimePoint m_now {};
    std::array<std::array<Upstream, 2>, shards> m_upstreams;
    std::array<ConcurrencyLimiter, hosts> m_limiters;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    Outcome m_outcome;
};

// Two upstreams with two slots each and 20 ms of work.
constexpr double capacity = 200;

/** Plays a load of \a factor times the capacity with four seeds; returns the totals. */
Outcome play(double factor, base::Duration length, bool reportsFailures)
{
    Outcome sum;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto outcome = Simulation(reportsFailures, seed).run(factor * capacity, length);
        sum.requests += outcome.requests;
        sum.inTime += outcome.inTime;
        sum.late += outcome.late;
        sum.failed += outcome.failed;
        sum.refused += outcome.refused;
    }
    return sum;
}

FanOutProgress failedAfter(base::Duration elapsed, uint32_t answered, uint32_t failed, uint32_t turnedAway)
{
    return { 100, answered, failed, turnedAway, elapsed, objective, true };
}

}

TEST_GROUP(FanOutPressure) {};

// Guards against a fleet that spends the queues of its upstreams on fan-outs that then fail: beyond the capacity the
// rest has to be refused at once, and what is admitted has to be served in time.
TEST(FanOutPressure, FanOutsBeyondTheCapacityAreRefusedInsteadOfFailing)
{
    for (auto factor : { 1.5, 2.5, 4.0 }) {
        auto outcome = play(factor, 6s, true);
        CHECK_TRUE(outcome.failed * 100 <= outcome.requests * 5);
        CHECK_TRUE(static_cast<double>(outcome.inTime) >= 0.75 * static_cast<double>(outcome.requests) / factor);
        CHECK_TRUE(outcome.late * 100 <= 3 * (outcome.requests - outcome.refused));
        // If failures do not count as load, hardly anything is served.
        CHECK_TRUE(play(factor, 6s, false).inTime * 5 < outcome.inTime);
    }
}

// Guards against a goodput that falls while the load lasts.
TEST(FanOutPressure, GoodputAtFourTimesTheCapacityIsThatOfItsEdge)
{
    auto edge = static_cast<double>(play(1, 20s, true).inTime);
    CHECK_TRUE(static_cast<double>(play(4, 20s, true).inTime) >= 0.95 * edge);
}

// Guards against refusals below the capacity.
TEST(FanOutPressure, NothingIsRefusedOrFailsBelowTheCapacity)
{
    auto outcome = play(0.7, 10s, true);
    LONGS_EQUAL(0, outcome.refused + outcome.failed);
}

// Guards against a fan-out that fails early and counts as a fast one, or not at all.
TEST(FanOutPressure, EarlyFailureForLackOfRoomIsOverload)
{
    DOUBLES_EQUAL(ConcurrencyLimiter::lostTime, loadMet(failedAfter(60ms, 20, 6, 6)).value_or(0), 1e-9);
    DOUBLES_EQUAL(ConcurrencyLimiter::lostTime, loadMet(failedAfter(60ms, 80, 6, 3)).value_or(0), 1e-9);
}

// Guards against upstreams that crash or reset connections and so lower the limit of a fleet that has room.
TEST(FanOutPressure, FailuresForOtherReasonsAreNotOverload)
{
    CHECK_FALSE(loadMet(failedAfter(60ms, 20, 6, 0)).has_value());
    CHECK_FALSE(loadMet(failedAfter(60ms, 20, 6, 2)).has_value());
    DOUBLES_EQUAL(0.3, loadMet(failedAfter(60ms, 80, 6, 2)).value_or(0), 1e-9);
}
