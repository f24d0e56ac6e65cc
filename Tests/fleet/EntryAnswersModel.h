#pragma once

#include "fleet/FleetFixture.h"
#include "papayabend/base/Random.h"
#include "papayabend/fleet/EntryAddresses.h"
#include "papayabend/fleet/EntryValidity.h"
#include "papayabend/fleet/LoadEstimate.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

/** Callers that ask for addresses, and hosts that stop, are lost and return, in virtual time. */
namespace entryModel {

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

constexpr base::Duration tick { 250ms };
constexpr base::Duration warmUp { 30s };
constexpr base::Duration grace { 6s };
constexpr base::Duration restartTime { 2s };
constexpr base::Duration outage { 12s };
// One caller in so many keeps an answer for three times its time to live.
constexpr size_t callersPerKeeper = 4;
constexpr size_t callersPerDomain = 20;
constexpr size_t attemptsPerRequest = 90;
// Failure domains with callers; the others only have hosts.
constexpr size_t maxObservers = 3;
constexpr size_t maxSlowTestHosts = 1000;
// Length of the intervals in which the load of a host is measured.
constexpr size_t roundsPerMeasurement = 20;
// Mean time between two relayed heartbeats of a host of another failure domain of a large fleet.
constexpr base::Duration relayInterval { 4s };

/** \enum Events
 * \brief What happens to the hosts.
 */
enum class Events : uint8_t { None, SingleStops, SeriesOfStops, Losses };

/** \struct Case
 * \brief A fleet, what happens to it, and the rule of the entry answers.
 */
struct Case {
    size_t hosts;
    Events events;
    bool isNewRule;
    double requestsPerDomain { 20 }; /**< A second, in each failure domain with callers. */
    base::Duration duration { 120s };

    size_t domains() const { return hosts <= 62 ? 3 : hosts <= 195 ? 5 : 13; }
    bool isEqual() const { return hosts <= 6; }
    /** Failure domains with callers; one of the largest fleet, which takes most time to play. */
    size_t observed() const { return hosts > maxSlowTestHosts ? 1 : std::min(domains(), maxObservers); }
};

/** \struct Outcome
 * \brief Counts of requests after the warm-up.
 */
struct Outcome {
    size_t requests { 0 };
    size_t questions { 0 };
    size_t weak { 0 };
    size_t metStopped { 0 }; /**< Found the port of a host closed and went on to another one at once. */
    size_t metLost { 0 }; /**< Waited one second for a host without power. */
    double peakLoad { 0 }; /**< Highest load of a host relative to its capacity. */

    double share(size_t count) const { return static_cast<double>(count) / static_cast<double>(requests); }
};

enum class HostState : uint8_t { Up, Stopping, Closed, Lost };

struct Host {
    Heartbeat heartbeat;
    HostState state { HostState::Up };
    base::TimePoint stateEndsAt {}; /**< Of any state but Up. */
    base::TimePoint stoppedAt {};
    uint64_t attempts { 0 };
    uint64_t attemptsBefore { 0 };
    LoadEstimate load;
};

struct Caller {
    size_t domain { 0 };
    bool isKeeper { false };
    base::TimePoint expiresAt {};
    std::vector<std::string> addresses;
};

/** A host that answers the questions of the callers of its failure domain; it never stops. */
struct Observer {
    FleetView view;
    FleetCalm calm;
    std::vector<std::string> addresses;
    base::TimePoint answeredAt {};
};

class Simulation {
public:
    explicit Simulation(const Case& settings)
        : m_case(settings)
        , m_serving { 3, 6000, settings.isNewRule }
        , m_validity { 1s, settings.isNewRule ? 5s : 1s, grace }
    {
        auto domains = m_case.domains();
        for (size_t n = 0; n < m_case.hosts; ++n) {
            auto& host = m_hosts.emplace_back();
            host.heartbeat = hostHeartbeat("h" + std::to_string(n), "d" + std::to_string(n % domains));
            auto isStrong = m_case.isEqual() || n < 2 * domains;
            host.heartbeat.capacity = isStrong ? strongCapacity : weakCapacity;
            m_byAddress[host.heartbeat.callerAddress] = n;
        }
        m_changedAt.resize(domains, m_now);
        for (size_t domain = 0; domain < m_case.observed(); ++domain) {
            // The last host of each failure domain answers questions.
            auto first = m_case.hosts - domains;
            const auto& self = m_hosts[first + (domain + domains - first % domains) % domains].heartbeat;
            m_observers.push_back({ FleetView(self), {}, {}, {} });
            m_observers.back().calm.changedAt = m_now;
            for (size_t n = 0; n < callersPerDomain; ++n)
                m_callers.push_back({ domain, n % callersPerKeeper == 0, {}, {} });
        }
    }

    Outcome run()
    {
        auto end = m_now + warmUp + m_case.duration;
        auto countsFrom = m_now + warmUp;
        auto nextEventAt = countsFrom + 5s;
        auto nextRequestAt = m_now;
        for (size_t round = 0; m_now < end; m_now += tick, ++round) {
            if (m_case.events != Events::None && m_now >= nextEventAt) {
                beginEvent();
                nextEventAt += m_case.events == Events::SeriesOfStops ? 8s : 40s;
            }
            for (size_t n = 0; n < m_hosts.size(); ++n)
                advance(n, round);
            for (auto& observer : m_observers) {
                observer.view.removeSilentHosts(m_now);
                observe(observer.calm, observer.view, m_now);
            }
            for (; nextRequestAt < m_now + tick; nextRequestAt += requestInterval())
                request(m_callers[base::uniformIndex(m_random, m_callers.size())], m_now >= countsFrom);
            if (round % 4 == 3)
                stateLoads();
            if (round % roundsPerMeasurement == 0)
                measureLoad(m_now > countsFrom);
        }
        return m_outcome;
    }

private:
    static constexpr uint32_t strongCapacity = 500;
    static constexpr uint32_t weakCapacity = 120;

    base::Duration requestInterval()
    {
        auto seconds = 2 * base::uniform(m_random) / m_case.requestsPerDomain / static_cast<double>(m_case.observed());
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    }

    size_t domainOf(size_t n) const { return n % m_case.domains(); }
    bool isLarge() const { return m_case.hosts > FleetView::maxSmallFleet; }

    /** Stops or kills the next host: the strong ones of the failure domains with callers and random weak ones in turn.
     */
    void beginEvent()
    {
        auto domains = m_case.domains();
        auto observed = m_observers.size();
        auto n = m_events % 2 == 0 ? (m_events / 2) % observed + domains * (m_events / 2 / observed % 2)
                                   : base::uniformIndex(m_random, m_case.hosts - domains);
        ++m_events;
        if (n >= m_case.hosts - domains || m_hosts[n].state != HostState::Up)
            return;
        auto& host = m_hosts[n];
        host.stoppedAt = m_now;
        if (m_case.events == Events::Losses) {
            host.state = HostState::Lost;
            host.stateEndsAt = m_now + outage;
            return;
        }
        host.state = HostState::Stopping;
        host.heartbeat.stage = HostStage::Leaving;
        const auto& calm = m_observers[domainOf(n) % m_observers.size()].calm;
        host.stateEndsAt = std::min(m_now + grace, answersExpireAt(calm, m_validity, m_now));
        m_changedAt[domainOf(n)] = m_now;
        deliver(host, domainOf(n), true);
    }

    void advance(size_t n, size_t round)
    {
        auto& host = m_hosts[n];
        // The others notice the loss at the end of the liveness timeout.
        if (host.state == HostState::Lost && m_now - host.stoppedAt >= FleetView::livenessTimeout
            && m_now - host.stoppedAt < FleetView::livenessTimeout + tick)
            m_changedAt[domainOf(n)] = m_now;
        if (host.state != HostState::Up && m_now >= host.stateEndsAt) {
            if (host.state == HostState::Stopping) {
                host.state = HostState::Closed;
                host.stateEndsAt = m_now + restartTime;
            } else {
                host.state = HostState::Up;
                host.heartbeat.stage = HostStage::Ready;
                ++host.heartbeat.incarnation;
                m_changedAt[domainOf(n)] = m_now;
            }
        }
        if (host.state == HostState::Closed || host.state == HostState::Lost)
            return;
        auto age = base::toMilliseconds(m_now - m_changedAt[domainOf(n)]);
        host.heartbeat.changeAgeMs = static_cast<uint32_t>(std::max<int64_t>(age, 1));
        auto roundsPerHeartbeat = isLarge() ? 4U : 2U;
        deliver(host, domainOf(n), (round + n) % roundsPerHeartbeat == 0);
    }

    /** Delivers a heartbeat to the observers of the host's failure domain if it is due there, and by chance to those of
     * other failure domains if it is relayed. */
    void deliver(Host& host, size_t domain, bool isDue)
    {
        auto relayProbability = std::chrono::duration<double>(tick) / relayInterval;
        ++host.heartbeat.sequence;
        for (size_t n = 0; n < m_observers.size(); ++n) {
            auto isDirect = !isLarge() || n == domain;
            if (isDirect ? isDue : base::uniform(m_random) < relayProbability)
                m_observers[n].view.apply(host.heartbeat, m_now);
        }
    }

    void ask(Caller& caller, bool isCounted)
    {
        auto& observer = m_observers[caller.domain];
        if (observer.answeredAt != m_now) {
            observer.addresses
                = entryAddresses(observer.view, "d" + std::to_string(caller.domain), m_serving, 64, m_now);
            observer.answeredAt = m_now;
        }
        caller.addresses = observer.addresses;
        caller.expiresAt = m_now + (caller.isKeeper ? 3 : 1) * entryTimeToLive(observer.calm, m_validity, m_now);
        m_outcome.questions += isCounted ? 1 : 0;
    }

    void request(Caller& caller, bool isCounted)
    {
        if (m_now >= caller.expiresAt)
            ask(caller, isCounted);
        auto addresses = caller.addresses;
        std::ranges::shuffle(addresses, m_random);
        bool hasMetStopped = false;
        bool hasMetLost = false;
        for (const auto& address : addresses) {
            auto& host = m_hosts[m_byAddress.at(address)];
            hasMetStopped = hasMetStopped || host.state == HostState::Closed;
            hasMetLost = hasMetLost || host.state == HostState::Lost;
            if (host.state == HostState::Closed || host.state == HostState::Lost)
                continue;
            host.attempts += attemptsPerRequest;
            m_outcome.weak += isCounted && host.heartbeat.capacity == weakCapacity ? 1 : 0;
            break;
        }
        if (!isCounted)
            return;
        ++m_outcome.requests;
        m_outcome.metStopped += hasMetStopped ? 1 : 0;
        m_outcome.metLost += hasMetLost ? 1 : 0;
    }

    void stateLoads()
    {
        for (auto& host : m_hosts) {
            fleet::observe(host.load, host.attempts, m_now);
            host.heartbeat.load = static_cast<uint32_t>(host.load.perSecond);
        }
    }

    void measureLoad(bool isCounted)
    {
        auto seconds = std::chrono::duration<double>(roundsPerMeasurement * tick).count();
        for (auto& host : m_hosts) {
            auto perSecond = static_cast<double>(host.attempts - host.attemptsBefore) / seconds;
            host.attemptsBefore = host.attempts;
            if (isCounted)
                m_outcome.peakLoad = std::max(m_outcome.peakLoad, perSecond / (host.heartbeat.capacity * 6.0));
        }
    }

    Case m_case;
    ServingSettings m_serving;
    EntryValiditySettings m_validity;
    base::Random m_random { 7 };
    base::TimePoint m_now { 1000s };
    std::vector<Host> m_hosts;
    std::vector<Observer> m_observers;
    std::vector<Caller> m_callers;
    std::vector<base::TimePoint> m_changedAt; /**< By failure domain: last change that its hosts have seen. */
    std::map<std::string, size_t> m_byAddress;
    size_t m_events { 0 };
    Outcome m_outcome;
};

constexpr std::array<size_t, 5> sizes { 6, 33, 62, 195, 1600 };

inline Outcome play(Case settings, const char* events)
{
    if (settings.hosts > maxSlowTestHosts)
        settings.duration = 60s;
    auto it = Simulation(settings).run();
    UT_PRINT(StringFromFormat("%zu hosts, %s, %s: %zu requests, %.2f questions each, %.1f %% to weak hosts, "
                              "%.2f %% met a stopped host, %.2f %% a lost one, peak load %.2f",
        settings.hosts, events, settings.isNewRule ? "new rule" : "today's rule", it.requests, it.share(it.questions),
        100 * it.share(it.weak), 100 * it.share(it.metStopped), 100 * it.share(it.metLost), it.peakLoad));
    return it;
}

}
