// Time-driven members of ControlPath: start, periodic exchange, platform reads, readiness.
#include "papayabend/engine/ControlPath.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace papayabend::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr base::Duration periodLength = 1s;
    constexpr base::Duration minProbeInterval = 100ms;
    constexpr base::Duration maxProbeInterval = 800ms;
    constexpr base::Duration requestTimeout = 400ms;
    // If no holder delivers an announced version within this time, it is requested again after the next digest of it.
    constexpr base::Duration announcedVersionTimeout = 1500ms;
    // Time to wait at start for a peer that has the values; after it the host serves the versions from the platform.
    constexpr base::Duration joinTimeout = 1s;
    constexpr base::Duration viewInterval = 500ms;
    // A resumed host reads the platform if no peer has answered for this time.
    constexpr base::Duration refreshDelay = 500ms;
    // Every tenth period a host also probes another region, and every thirtieth a seed, so that two parts of the fleet
    // that have removed each other from their views find each other again.
    constexpr uint64_t periodsPerRegionProbe = 10;
    constexpr uint64_t periodsPerSeedProbe = 30;
    constexpr membership::PeerCounts probeFanOut { 2, 1, 0 };
    constexpr size_t maxRetriedProbes = 2;
    // Whole values are sent at up to 40 per second, so that a mass restart does not overload the first hosts that
    // have them; further requests are referred to hosts that received one.
    constexpr double wholeValuesPerSecond = 40;
    constexpr double wholeValueBurst = 8;

}

Actions ControlPath::tick(base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    if (!m_isStarted)
        start(now);
    checkForPause(now, actions);
    auto sinceTokens = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_wholeValueTokens = std::min(m_wholeValueTokens + wholeValuesPerSecond * sinceTokens, wholeValueBurst);
    m_tokensUpdatedAt = now;
    if (now >= m_nextPeriod)
        runPeriod(now, actions);
    requestUpdates(now, actions);
    publishView(now);
    readPlatform(now, actions);
    updateReadiness(now, actions);
    return actions;
}

void ControlPath::start(base::TimePoint now)
{
    m_isStarted = true;
    m_startedAt = now;
    m_tokensUpdatedAt = now;
    m_wholeValueTokens = wholeValueBurst;
    m_lastPeerAnswer = now;
    m_probeInterval = minProbeInterval;
    m_nextProbe = now;
    // Spreads the first exchanges of hosts that start together over one period.
    m_nextPeriod = now
        + base::Duration(static_cast<int64_t>(static_cast<double>(periodLength.count()) * base::uniform(m_random)));
    m_pauses.pass(now);
    auto isSeed
        = std::ranges::find(m_shared.identity.seeds, m_members.self.peerAddress) != m_shared.identity.seeds.end();
    for (auto& value : m_values)
        value.plan = dissemination::startReadPlan(isSeed, now, m_random);
}

void ControlPath::checkForPause(base::TimePoint now, Actions& actions)
{
    if (!m_isStarted)
        return;
    m_pauses.pass(now);
    if (m_handledPauses == m_pauses.pauses())
        return;
    m_handledPauses = m_pauses.pauses();
    m_resumedAt = now;
    m_firstProbeAfterResume = m_lastProbe + 1;
    m_isConfirmedSinceResume = { false, false };
    m_readsAtResume = { m_values[0].plan.started, m_values[1].plan.started };
    m_lastPeerAnswer = now;
    m_probeInterval = minProbeInterval;
    m_nextProbe = now;
    resumeMembers(m_members, now);
    actions.emplace_back(StateChange { "membership", "the process was paused; the view is stale" });
    requestUpdates(now, actions);
}

void ControlPath::runPeriod(base::TimePoint now, Actions& actions)
{
    m_nextPeriod = std::max(m_nextPeriod + periodLength, now);
    ++m_periodCount;
    expireMembers(m_members, now);
    membership::PeerCounts fanOut { 2, 1, m_periodCount % periodsPerRegionProbe == 0 ? size_t { 1 } : 0 };
    auto peers = choosePeers(m_members, fanOut, m_random);
    std::ranges::move(unansweredPeers(m_members, maxRetriedProbes), std::back_inserter(peers));
    if (peers.empty() || m_periodCount % periodsPerSeedProbe == 0)
        std::ranges::move(chooseSeeds(1), std::back_inserter(peers));
    probe(peers, now, actions);
}

void ControlPath::requestUpdates(base::TimePoint now, Actions& actions)
{
    for (auto& value : m_values) {
        auto& announced = value.announced;
        if (announced.version == 0)
            continue;
        if (now - announced.since > announcedVersionTimeout)
            announced = {};
        else if (now >= announced.retryAt && !announced.holders.empty()) {
            announced.retryAt = now + requestTimeout;
            auto message = makeMessage();
            const auto& stored = value.stored;
            message.valueRequests.push_back({ stored.key, stored.version, stored.contentHash });
            send(
                announced.holders[base::uniformIndex(m_random, announced.holders.size())], std::move(message), actions);
        }
    }
    if ((m_hasJoined && !m_pauses.isStale()) || now < m_nextProbe)
        return;
    m_nextProbe = now + m_probeInterval;
    m_probeInterval = std::min(2 * m_probeInterval, maxProbeInterval);
    auto peers = choosePeers(m_members, probeFanOut, m_random);
    std::ranges::move(chooseSeeds(2), std::back_inserter(peers));
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
        auto isWantedNow = m_pauses.isStale() && n < m_isConfirmedSinceResume.size() && !m_isConfirmedSinceResume[n]
            && std::max(m_lastPeerAnswer, m_resumedAt) + refreshDelay <= now;
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
    if (!m_members.isChanged || (m_hasJoined && now - m_viewPublishedAt < viewInterval))
        return;
    m_members.isChanged = false;
    m_viewPublishedAt = now;
    m_shared.hostView.publish(std::make_shared<const membership::HostView>(makeView(m_members)));
    for (auto& value : m_values) {
        auto readers = chooseReaders(m_members, value.stored.key);
        value.isReader = std::ranges::find(readers, m_members.self.name) != readers.end();
    }
}

bool ControlPath::isBehindPeers() const
{
    return std::ranges::any_of(
        std::span(m_values).first(2), [](const Value& it) { return it.announced.version > it.stored.version; });
}

Readiness ControlPath::computeReadiness() const
{
    auto notReady = [](std::string reason) {
        return Readiness { false, base::RefusalCode::NotReady, std::move(reason) };
    };
    if (m_members.isReplaced)
        return { false, base::RefusalCode::Stopping, "a newer process of this host is running" };
    if (m_lifecycle >= membership::Lifecycle::Draining)
        return { false, base::RefusalCode::Stopping, "stopping" };
    for (size_t n = 0; n < 2; ++n) {
        const auto& value = m_values[n];
        if (value.stored.version != 0)
            continue;
        auto text = n == 0 ? std::string("no table") : std::string("no catalogue");
        if (value.stored.refusals > 0)
            text += "; the published version is not valid";
        if (value.plan.failures > 0)
            text += "; reads from the platform fail";
        if (!m_hasPeerAnswered)
            text += "; no peer with values answered";
        return notReady(std::move(text));
    }
    if (m_isStarted && !m_hasJoined)
        return notReady("the values have not been compared with peers yet");
    if (m_pauses.isStale())
        return { false, base::RefusalCode::StaleView, "the process was paused and its view is not refreshed" };
    return { true, base::RefusalCode::NotReady, {} };
}

void ControlPath::updateReadiness(base::TimePoint now, Actions& actions)
{
    auto hasTableAndCatalog = m_values[0].stored.version != 0 && m_values[1].stored.version != 0;
    if (!m_hasJoined && hasTableAndCatalog && !isBehindPeers()
        && (m_hasPeerAnswered || now - m_startedAt >= joinTimeout))
        m_hasJoined = true;
    if (m_pauses.isStale() && m_handledPauses == m_pauses.pauses() && m_isConfirmedSinceResume[0]
        && m_isConfirmedSinceResume[1] && !isBehindPeers()) {
        m_pauses.refreshed();
        actions.emplace_back(StateChange { "membership", "the view is refreshed" });
    }
    auto readiness = computeReadiness();
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
    // Announces the stage at once, so that peers direct callers to other hosts.
    probe(choosePeers(m_members, probeFanOut, m_random), now, actions);
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
