#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/dispatch/FanOutShares.h"
#include "papayabend/dispatch/Gather.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

/** Fan-outs of many hosts over one set of shards in virtual time, without hedges. */
namespace fanOutModel {

using namespace std::chrono_literals;
using papayabend::base::Duration;
using papayabend::base::TimePoint;
using papayabend::dispatch::TrafficClass;

constexpr uint32_t shards = 20;
constexpr size_t replicas = 3;
// An upstream refuses requests beyond this many waiting ones for each of its slots.
constexpr size_t queuePerSlot = 8;
constexpr std::string_view setName = "s";

struct RequestClass {
    double part; /**< Of the arrivals. */
    Duration work;
    Duration objective;
    Duration timeout;
    double minShare;
    uint32_t priority;
};

constexpr std::array<RequestClass, 2> classes { { { 0.64, 20ms, 250ms, 2500ms, 0.95, 1 },
    { 0.36, 6700us, 80ms, 1000ms, 0.85, 0 } } };

/** \struct Case
 * \brief A fleet and its load.
 */
struct Case {
    size_t hosts { 6 }; /**< That callers are sent to. */
    uint32_t slots { 2 }; /**< Of an upstream. */
    double load { 1 }; /**< Half of the capacity of the shards is 1. */
    Duration duration { 5s };
    bool hasSlowThird { false }; /**< A third of the upstreams become three times slower after a second. */
    bool losesQuarter { false }; /**< A quarter of the hosts is lost after two seconds. */
    bool repeatsAtOnce { false }; /**< Refused requests come back at once, up to three times. */
};

struct ClassOutcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t late { 0 };
    size_t refused { 0 };
    size_t failed { 0 };
};

using Outcome = std::array<ClassOutcome, classes.size()>;

/** \struct FanOutTimes
 * \brief Progress of a fan-out that has become known to its host.
 */
struct FanOutTimes {
    std::optional<Duration> half; /**< Half of the shards have answered. */
    std::optional<Duration> whole; /**< The least share has answered. */
    bool isLost { false }; /**< Too many shards have turned it away. */
    Duration elapsed {};
    Duration objective {};
    uint32_t priority { 0 };
};

/** \class Gate
 * \brief Decides which fan-outs run.
 */
class Gate {
public:
    virtual ~Gate() = default;
    virtual bool admit(size_t host, const TrafficClass&, TimePoint now) = 0;
    /** Half of the shards have answered. */
    virtual void halfAnswered(size_t host, const FanOutTimes&, TimePoint now) = 0;
    /** The least share has answered, the objective has passed without it, or the fan-out has failed. */
    virtual void decided(size_t host, const FanOutTimes&, TimePoint now) = 0;
    virtual void ended(size_t host, const TrafficClass&, Duration runTime, TimePoint now) = 0;
    /** Called every 250 ms. */
    virtual void tick(TimePoint now) = 0;
    virtual void lost(size_t) { }
};

class Simulation {
public:
    Simulation(const Case& settings, Gate& gate)
        : m_case(settings)
        , m_gate(gate)
        , m_upstreams(shards * replicas)
        , m_inFlight(settings.hosts * shards * replicas)
        , m_meanTime(settings.hosts * shards * replicas, 0.02)
        , m_isLost(settings.hosts)
    {
        for (auto& it : m_upstreams)
            it.isSlow = settings.hasSlowThird && papayabend::base::uniform(m_random) < 1.0 / 3;
    }

    Outcome run()
    {
        at(m_start, [this] { arrive(); });
        at(m_start, [this] { tick(); });
        if (m_case.losesQuarter)
            at(m_start + 2s, [this] { loseQuarter(); });
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_outcome;
    }

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::pair(at, number) > std::pair(other.at, other.number); }
    };

    struct FanOut {
        size_t host { 0 };
        size_t kind { 0 };
        size_t repeats { 0 };
        TimePoint startedAt;
        uint32_t answered { 0 };
        uint32_t failed { 0 };
        bool hasEnded { false };
        FanOutTimes times;
        bool isDecided { false };
    };

    struct Work {
        std::shared_ptr<FanOut> fanOut;
        size_t shard;
        TimePoint sentAt;
        uint32_t tried;
    };

    struct Upstream {
        std::deque<Work> queue;
        uint32_t running { 0 };
        bool isSlow { false };
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({ time, m_eventNumber++, std::move(action) });
    }

    TrafficClass trafficClassOf(const FanOut& fanOut) const { return { "a", 1, classes[fanOut.kind].priority }; }

    double perSecond() const
    {
        double meanWork = 0;
        for (const auto& it : classes)
            meanWork += it.part * std::chrono::duration<double>(it.work).count();
        return 0.5 * m_case.load * static_cast<double>(replicas) * m_case.slots / meanWork;
    }

    void arrive()
    {
        if (m_now >= m_start + m_case.duration)
            return;
        auto seconds = -std::log(1 - papayabend::base::uniform(m_arrivals)) / perSecond();
        at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), [this] { arrive(); });
        auto kind = papayabend::base::uniform(m_arrivals) < classes[0].part ? 0U : 1U;
        ++m_outcome[kind].requests;
        begin(kind, 0);
    }

    void tick()
    {
        m_gate.tick(m_now);
        if (m_now < m_start + m_case.duration)
            at(m_now + 250ms, [this] { tick(); });
    }

    void loseQuarter()
    {
        for (size_t n = 0; n < m_case.hosts / 4; ++n) {
            m_isLost[n] = true;
            m_gate.lost(n);
        }
    }

    void begin(size_t kind, size_t repeats)
    {
        auto host = papayabend::base::uniformIndex(m_random, m_case.hosts);
        while (m_isLost[host])
            host = papayabend::base::uniformIndex(m_random, m_case.hosts);
        auto fanOut = std::make_shared<FanOut>();
        fanOut->host = host;
        fanOut->kind = kind;
        fanOut->startedAt = m_now;
        fanOut->times.priority = classes[kind].priority;
        if (!m_gate.admit(host, trafficClassOf(*fanOut), m_now)) {
            if (m_case.repeatsAtOnce && repeats < 3)
                at(m_now + 5ms, [this, kind, repeats] { begin(kind, repeats + 1); });
            else
                ++m_outcome[kind].refused;
            return;
        }
        for (size_t shard = 0; shard < shards; ++shard)
            send({ fanOut, shard, m_now, 0 });
        at(m_now + classes[kind].objective, [this, fanOut] { objectivePassed(*fanOut); });
        at(m_now + classes[kind].timeout, [this, fanOut] { end(*fanOut, &ClassOutcome::failed); });
    }

    size_t indexOf(size_t host, size_t upstream) const { return host * shards * replicas + upstream; }

    void send(Work work)
    {
        std::optional<size_t> best;
        double bestTime = 0;
        for (size_t n = 0; n < replicas; ++n) {
            auto upstream = work.shard * replicas + n;
            auto index = indexOf(work.fanOut->host, upstream);
            auto time = m_meanTime[index] * (1 + 0.5 * m_inFlight[index]) + 1e-4 * papayabend::base::uniform(m_random);
            if ((work.tried >> n & 1) == 0 && (!best || time < bestTime)) {
                best = n;
                bestTime = time;
            }
        }
        if (!best)
            return shardFailed(*work.fanOut);
        work.tried |= 1U << *best;
        auto number = work.shard * replicas + *best;
        auto& upstream = m_upstreams[number];
        if (upstream.queue.size() >= queuePerSlot * m_case.slots)
            return send(std::move(work));
        ++m_inFlight[indexOf(work.fanOut->host, number)];
        upstream.queue.push_back(std::move(work));
        startWork(number);
    }

    void startWork(size_t number)
    {
        auto& upstream = m_upstreams[number];
        while (upstream.running < m_case.slots && !upstream.queue.empty()) {
            auto work = std::move(upstream.queue.front());
            upstream.queue.pop_front();
            const auto& kind = classes[work.fanOut->kind];
            // Upstreams drop work whose time limit has passed.
            if (m_now >= work.fanOut->startedAt + kind.timeout) {
                --m_inFlight[indexOf(work.fanOut->host, number)];
                continue;
            }
            ++upstream.running;
            auto factor = 0.6 + 0.8 * papayabend::base::uniform(m_random);
            if (upstream.isSlow && m_now >= m_start + 1s)
                factor *= 3;
            auto duration = std::chrono::duration_cast<Duration>(factor * std::chrono::duration<double>(kind.work));
            at(m_now + duration, [this, number, work = std::move(work)] { finishWork(number, work); });
        }
    }

    void finishWork(size_t number, const Work& work)
    {
        --m_upstreams[number].running;
        startWork(number);
        auto& fanOut = *work.fanOut;
        auto index = indexOf(fanOut.host, number);
        --m_inFlight[index];
        auto seconds = std::chrono::duration<double>(m_now - work.sentAt).count();
        m_meanTime[index] += 0.2
            * (seconds * 0.02 / std::chrono::duration<double>(classes[fanOut.kind].work).count() - m_meanTime[index]);
        if (fanOut.hasEnded)
            return;
        ++fanOut.answered;
        fanOut.times.elapsed = m_now - fanOut.startedAt;
        fanOut.times.objective = classes[fanOut.kind].objective;
        if (!fanOut.times.half && 2 * fanOut.answered >= shards) {
            fanOut.times.half = fanOut.times.elapsed;
            m_gate.halfAnswered(fanOut.host, fanOut.times, m_now);
        }
        if (!fanOut.times.whole
            && papayabend::dispatch::isEnough(fanOut.answered, shards, classes[fanOut.kind].minShare)) {
            fanOut.times.whole = fanOut.times.elapsed;
            decide(fanOut);
        }
        auto isLate = fanOut.times.elapsed > classes[fanOut.kind].objective;
        if (fanOut.answered + fanOut.failed == shards || (fanOut.times.whole && isLate))
            answer(fanOut);
    }

    void shardFailed(FanOut& fanOut)
    {
        if (fanOut.hasEnded)
            return;
        ++fanOut.failed;
        if (papayabend::dispatch::isEnough(shards - fanOut.failed, shards, classes[fanOut.kind].minShare))
            return;
        fanOut.times.isLost = true;
        fanOut.times.elapsed = m_now - fanOut.startedAt;
        fanOut.times.objective = classes[fanOut.kind].objective;
        decide(fanOut);
        end(fanOut, &ClassOutcome::failed);
    }

    void objectivePassed(FanOut& fanOut)
    {
        if (fanOut.hasEnded)
            return;
        if (fanOut.times.whole)
            return answer(fanOut);
        fanOut.times.elapsed = m_now - fanOut.startedAt;
        fanOut.times.objective = classes[fanOut.kind].objective;
        decide(fanOut);
    }

    void decide(FanOut& fanOut)
    {
        if (fanOut.isDecided)
            return;
        fanOut.isDecided = true;
        if (!m_isLost[fanOut.host])
            m_gate.decided(fanOut.host, fanOut.times, m_now);
    }

    void answer(FanOut& fanOut)
    {
        end(fanOut,
            m_now - fanOut.startedAt <= classes[fanOut.kind].objective ? &ClassOutcome::inTime : &ClassOutcome::late);
    }

    void end(FanOut& fanOut, size_t ClassOutcome::*count)
    {
        if (fanOut.hasEnded)
            return;
        fanOut.hasEnded = true;
        ++(m_outcome[fanOut.kind].*(m_isLost[fanOut.host] ? &ClassOutcome::failed : count));
        if (!m_isLost[fanOut.host])
            m_gate.ended(fanOut.host, trafficClassOf(fanOut), m_now - fanOut.startedAt, m_now);
    }

    Case m_case;
    Gate& m_gate;
    papayabend::base::Random m_arrivals { 5 }; /**< Separate, so that all gates see the same requests. */
    papayabend::base::Random m_random { 11 };
    TimePoint m_start { 1000s };
    TimePoint m_now { m_start };
    uint64_t m_eventNumber { 0 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Upstream> m_upstreams;
    std::vector<uint32_t> m_inFlight; /**< By host and upstream. */
    std::vector<double> m_meanTime;
    std::vector<bool> m_isLost;
    Outcome m_outcome;
};

}
