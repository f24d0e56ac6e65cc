// Members of ControlPath that run by time: start, periods, platform reads, readiness.
#include "papayabend/engine/ControlPath.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace papayabend::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr base::Duration periodLength = 1s;
    constexpr base::Duration firstAskInterval = 100ms;
    constexpr base::Duration longestAskInterval = 800ms;
    constexpr base::Duration requestTimeout = 400ms;
    // A version that no announced holder delivers within this time is left to the next digests.
    constexpr base::Duration announcementTimeout = 1500ms;
    // A peer that has the values answers within this time; later the platform's version is taken without it.
    constexpr base::Duration joinTimeout = 1s;
    constexpr base::Duration viewInterval = 500ms;
    // After this silence of all peers a resumed host asks the platform.
    constexpr base::Duration refreshDelay = 500ms;
    // Every tenth period a host also contacts another region, every thirtieth a seed, so that two parts of the fleet
    // that have removed each other meet again.
    constexpr uint64_t regionPeriod = 10;
    constexpr uint64_t seedPeriod = 30;
    constexpr membership::PeerCounts joinFanOut { 2, 1, 0 };
    constexpr size_t retriedProbes = 2;
    // Whole values are sent at up to 40 a second, so that a mass restart does not overload the first hosts that
    // have them; further requests are referred to hosts that received one.
    constexpr double wholeValueRate = 40;
    constexpr double wholeValueBurst = 8;

}

Actions ControlPath::tick(base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    if (!m_isStarted)
        start(now);
    pass(now, actions);
    auto sinceTokens = std::chrono::duration<double>(now - m_tokensAt).count();
    m_wholeValueTokens = std::min(m_wholeValueTokens + wholeValueRate * sinceTokens, wholeValueBurst);
    m_tokensAt = now;
    if (now >= m_nextPeriod)
        period(now, actions);
    askPeers(now, actions);
    publishView(now);
    readPlatform(now, actions);
    updateReadiness(now, actions);
    return actions;
}

void ControlPath::start(base::TimePoint now)
{
    m_isStarted = true;
    m_start = now;
    m_tokensAt = now;
    m_wholeValueTokens = wholeValueBurst;
    m_lastPeerAnswer = now;
    m_askInterval = firstAskInterval;
    m_nextAsk = now;
    // Periods of hosts that start together are spread over one period.
    m_nextPeriod = now
        + base::Duration(static_cast<int64_t>(static_cast<double>(periodLength.count()) * base::uniform(m_random)));
    m_pauses.pass(now);
    auto isSeed
        = std::ranges::find(m_shared.identity.seeds, m_members.self.peerAddress) != m_shared.identity.seeds.end();
    for (auto& value : m_values)
        value.plan = dissemination::startReadPlan(isSeed, now, m_random);
}

void ControlPath::pass(base::TimePoint now, Actions& actions)
{
    if (!m_isStarted)
        return;
    m_pauses.pass(now);
    if (m_handledPauses == m_pauses.pauses())
        return;
    m_handledPauses = m_pauses.pauses();
    m_resumed = now;
    m_firstFreshProbe = m_lastProbe + 1;
    m_isReadSinceResume = { false, false };
    m_readsAtResume = { m_values[0].plan.started, m_values[1].plan.started };
    m_lastPeerAnswer = now;
    m_askInterval = firstAskInterval;
    m_nextAsk = now;
    resumeMembers(m_members, now);
    actions.emplace_back(StateChange { "membership", "the process was paused; the view is stale" });
    askPeers(now, actions);
}

void ControlPath::period(base::TimePoint now, Actions& actions)
{
    m_nextPeriod = std::max(m_nextPeriod + periodLength, now);
    ++m_periods;
    expireMembers(m_members, now);
    membership::PeerCounts fanOut { 2, 1, m_periods % regionPeriod == 0 ? size_t { 1 } : 0 };
    auto peers = choosePeers(m_members, fanOut, m_random);
    std::ranges::move(unansweredPeers(m_members, retriedProbes), std::back_inserter(peers));
    if (peers.empty() || m_periods % seedPeriod == 0)
        std::ranges::move(seedPeers(1), std::back_inserter(peers));
    probe(peers, now, actions);
}

void ControlPath::askPeers(base::TimePoint now, Actions& actions)
{
    for (auto& value : m_values) {
        auto& announced = value.announced;
        if (announced.version == 0)
            continue;
        if (now - announced.since > announcementTimeout)
            announced = {};
        else if (now >= announced.retryAt && !announced.holders.empty()) {
            announced.retryAt = now + requestTimeout;
            auto message = compose();
            const auto& stored = value.stored;
            message.valueRequests.push_back({ stored.key, stored.version, stored.contentHash });
            send(
                announced.holders[base::uniformIndex(m_random, announced.holders.size())], std::move(message), actions);
        }
    }
    if ((m_hasJoined && !m_pauses.isStale()) || now < m_nextAsk)
        return;
    m_nextAsk = now + m_askInterval;
    m_askInterval = std::min(2 * m_askInterval, longestAskInterval);
    auto peers = choosePeers(m_members, joinFanOut, m_random);
    std::ranges::move(seedPeers(2), std::back_inserter(peers));
    probe(peers, now, actions);
}

void ControlPath::readPlatform(base::TimePoint now, Actions& actions)
{
    if (!m_isStarted)
        return;
    auto isSeed
        = std::ranges::find(m_shared.identity.seeds, m_members.self.peerAddress) != m_shared.identity.seeds.end();
    for (size_t n = 0; n < m_values.size(); ++n) {
        auto& value = m_values[n];
        auto isWantedNow = m_pauses.isStale() && n < m_isReadSinceResume.size() && !m_isReadSinceResume[n]
            && std::max(m_lastPeerAnswer, m_resumed) + refreshDelay <= now;
        dissemination::ReadSituation situation { value.stored.version != 0, value.isReader, isSeed,
            value.stored.key != "hosts", isWantedNow, m_lastPeerAnswer };
        auto wait = nextRead(value.plan, situation, now, m_random);
        if (!wait)
            continue;
        ++m_counters.platformReads;
        actions.emplace_back(ReadPlatform { value.stored.key, value.stored.version, *wait });
    }
}

void ControlPath::publishView(base::TimePoint now)
{
    if (!m_members.isChanged || (m_hasJoined && now - m_viewPublished < viewInterval))
        return;
    m_members.isChanged = false;
    m_viewPublished = now;
    m_shared.hostView.publish(std::make_shared<const membership::HostView>(makeView(m_members)));
    for (auto& value : m_values) {
        auto readers = chooseReaders(m_members, value.stored.key);
        value.isReader = std::ranges::find(readers, m_members.self.name) != readers.end();
    }
}

bool ControlPath::isBehind() const
{
    return std::ranges::any_of(
        std::span(m_values).first(2), [](const Value& it) { return it.announced.version > it.stored.version; });
}

Readiness ControlPath::assess() const
{
    auto notReady = [](std::string reason) {
        return Readiness { false, base::RefusalCode::NotReady, std::move(reason) };
    };
    if (m_members.isReplaced)
        return { false, base::RefusalCode::Stopping, "a newer process of this host runs" };
    if (m_lifecycle >= membership::Lifecycle::Draining)
        return { false, base::RefusalCode::Stopping, "stopping" };
    for (size_t n = 0; n < 2; ++n) {
        const auto& value = m_values[n];
        if (value.stored.version != 0)
            continue;
        auto text = n == 0 ? std::string("no table") : std::string("no catalogue");
        if (value.stored.refusals > 0)
            text += "; the published one is not valid";
        if (value.plan.failures > 0)
            text += "; reads of the platform fail";
        if (!m_peersAnswered)
            text += "; no peer with values answered";
        return notReady(std::move(text));
    }
    if (m_isStarted && !m_hasJoined)
        return notReady("peers have not been asked yet");
    if (m_pauses.isStale())
        return { false, base::RefusalCode::StaleView, "the process was paused and its view is not refreshed" };
    return { true, base::RefusalCode::NotReady, {} };
}

void ControlPath::updateReadiness(base::TimePoint now, Actions& actions)
{
    auto hasValues = m_values[0].stored.version != 0 && m_values[1].stored.version != 0;
    if (!m_hasJoined && hasValues && !isBehind() && (m_peersAnswered || now - m_start >= joinTimeout))
        m_hasJoined = true;
    if (m_pauses.isStale() && m_handledPauses == m_pauses.pauses() && m_isReadSinceResume[0] && m_isReadSinceResume[1]
        && !isBehind()) {
        m_pauses.refreshed();
        actions.emplace_back(StateChange { "membership", "the view is refreshed" });
    }
    auto readiness = assess();
    if (readiness.canServe && membership::advance(m_lifecycle, membership::Lifecycle::Serving))
        setSelfState(m_members, announcedState(m_lifecycle));
    if (readiness == *m_readiness.load())
        return;
    if (m_isStarted)
        actions.emplace_back(StateChange { "readiness", readiness.canServe ? "ready" : readiness.reason });
    m_readiness.publish(std::make_shared<const Readiness>(std::move(readiness)));
}

Readiness ControlPath::readiness(base::TimePoint now) const
{
    if (m_isStarted)
        m_pauses.pass(now);
    auto readiness = *m_readiness.load();
    if (readiness.canServe && m_pauses.isStale())
        return { false, base::RefusalCode::StaleView, "the process was paused and its view is not refreshed" };
    return readiness;
}

Actions ControlPath::advance(membership::Lifecycle next, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    if (!membership::advance(m_lifecycle, next))
        return actions;
    setSelfState(m_members, announcedState(m_lifecycle));
    actions.emplace_back(StateChange { "lifecycle", std::string(toString(next)) });
    // Peers learn of it at once, and callers are then sent elsewhere.
    probe(choosePeers(m_members, joinFanOut, m_random), now, actions);
    updateReadiness(now, actions);
    return actions;
}

void ControlPath::setLoad(double load)
{
    std::scoped_lock lock(m_mutex);
    m_members.self.load = load;
}

ControlCounters ControlPath::counters() const
{
    std::scoped_lock lock(m_mutex);
    auto counters = m_counters;
    for (const auto& value : m_values) {
        counters.conflicts += value.stored.conflicts;
        counters.invalidValues += value.stored.refusals;
        counters.staleOffers += value.stored.staleOffers;
    }
    counters.pauses = m_pauses.pauses();
    counters.suspicions = m_members.suspicions;
    counters.removals = m_members.removals;
    return counters;
}

}
