#pragma once

#include "dispatch/FanOutFleetModel.h"
#include "papayabend/dispatch/ConcurrencyLimiter.h"
#include "papayabend/dispatch/FleetAdmission.h"

#include <CppUTest/TestHarness.h>
#include <iterator>

/** The gate of today and the one of the fleet, for comparison in one run. */
namespace fanOutModel {

using namespace papayabend;
using namespace papayabend::dispatch;

inline double ratio(base::Duration a, base::Duration b)
{
    return std::chrono::duration<double>(a) / std::chrono::duration<double>(b);
}

/** Each host limits its fan-outs alone, by the time in which half of the shards answer. */
class LimiterGate : public Gate {
public:
    explicit LimiterGate(size_t hosts)
        : m_limiters(hosts)
    {
    }

    bool admit(size_t host, const TrafficClass& kind, base::TimePoint now) override
    {
        return m_limiters[host].tryAcquire(setName, kind, now);
    }
    void halfAnswered(size_t host, const FanOutTimes& times, base::TimePoint now) override
    {
        m_limiters[host].observe(setName, ratio(*times.half, times.objective), now);
    }
    void decided(size_t host, const FanOutTimes& times, base::TimePoint now) override
    {
        if (times.isLost)
            m_limiters[host].observe(setName, ConcurrencyLimiter::lostTime, now);
    }
    void ended(size_t host, const TrafficClass& kind, base::Duration runTime, base::TimePoint) override
    {
        m_limiters[host].release(setName, kind, runTime);
    }
    void tick(base::TimePoint) override { }

private:
    std::vector<ConcurrencyLimiter> m_limiters;
};

/** All hosts share one bound; they state it every 0.5 s. */
class FleetGate : public Gate {
public:
    explicit FleetGate(size_t hosts)
        : m_hosts(hosts)
        , m_isLost(hosts)
    {
        for (auto& it : m_hosts)
            it.setShare(1 / static_cast<double>(hosts));
    }

    bool admit(size_t host, const TrafficClass& kind, base::TimePoint now) override
    {
        return !m_hosts[host].tryAcquire(setName, kind, m_random, now);
    }
    void halfAnswered(size_t, const FanOutTimes&, base::TimePoint) override { }
    void decided(size_t host, const FanOutTimes& times, base::TimePoint now) override
    {
        auto whole = ratio(times.whole.value_or(times.elapsed), times.objective);
        auto half = ratio(times.half.value_or(times.elapsed), times.objective);
        m_hosts[host].observe(setName, times.priority, { half, whole, times.isLost }, now);
    }
    void ended(size_t host, const TrafficClass& kind, base::Duration runTime, base::TimePoint now) override
    {
        m_hosts[host].release(setName, kind, runTime, now);
    }
    void tick(base::TimePoint now) override
    {
        for (size_t n = 0; n < m_hosts.size(); ++n) {
            if (!m_isLost[n])
                m_hosts[n].merge(m_notices, now);
        }
        if (m_ticks++ % 2 != 0)
            return;
        m_notices.clear();
        for (size_t n = 0; n < m_hosts.size(); ++n) {
            if (!m_isLost[n])
                std::ranges::copy(
                    decodeNotices(encodeNotices(m_hosts[n].notices(4, now))), std::back_inserter(m_notices));
        }
    }
    void lost(size_t host) override { m_isLost[host] = true; }

private:
    std::vector<FleetAdmission> m_hosts;
    std::vector<bool> m_isLost;
    std::vector<AdmissionNotice> m_notices;
    base::Random m_random { 3 };
    size_t m_ticks { 0 };
};

/** Serving hosts and slots of an upstream at each size of a fleet. */
struct Size {
    size_t fleet;
    size_t serving;
    uint32_t slots;
    base::Duration duration;
};

constexpr std::array<Size, 5> sizes { { { 6, 6, 2, 5s }, { 33, 9, 2, 5s }, { 62, 12, 2, 5s }, { 195, 20, 2, 5s },
    { 1600, 100, 6, 3s } } };

/** \struct Totals
 * \brief Requests of all classes with each gate.
 */
struct Totals {
    ClassOutcome today;
    ClassOutcome fleet;
};

inline void add(ClassOutcome& total, const Outcome& outcome)
{
    for (const auto& it : outcome) {
        total.requests += it.requests;
        total.inTime += it.inTime;
        total.late += it.late;
        total.refused += it.refused;
        total.failed += it.failed;
    }
}

inline void print(const char* gate, const Size& size, const char* what, double load, const Outcome& it)
{
    const auto& search = it[0];
    const auto& urgent = it[1];
    UT_PRINT(
        StringFromFormat("%zu hosts, %s, load %.1f, %s: search %zu: %zu in time, %zu late, %zu refused, %zu failed; "
                         "urgent %zu: %zu in time, %zu late, %zu refused, %zu failed",
            size.fleet, what, load, gate, search.requests, search.inTime, search.late, search.refused, search.failed,
            urgent.requests, urgent.inTime, urgent.late, urgent.refused, urgent.failed));
}

/** Plays the case with both gates. */
inline Totals compare(const Size& size, const char* what, Case settings)
{
    settings.hosts = size.serving;
    settings.slots = size.slots;
    settings.duration = size.duration;
    LimiterGate limiters(size.serving);
    auto before = Simulation(settings, limiters).run();
    FleetGate fleet(size.serving);
    auto now = Simulation(settings, fleet).run();
    print("today", size, what, settings.load, before);
    print("fleet", size, what, settings.load, now);
    Totals totals;
    add(totals.today, before);
    add(totals.fleet, now);
    return totals;
}

}
