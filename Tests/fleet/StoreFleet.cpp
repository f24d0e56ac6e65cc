#include "fleet/StoreFleet.h"

#include <numeric>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

constexpr StoreFleet::Duration storeDelay { 2ms }; // one way
constexpr StoreFleet::Duration connectFailureTime { 1500ms };
constexpr StoreFleet::Duration refusalTime { 4ms };
constexpr StoreFleet::Duration watchSlack { 1s };
constexpr StoreFleet::Duration tickInterval { 250ms };
constexpr StoreFleet::Duration localDelay { 1ms };
constexpr StoreFleet::Duration otherDomainPullDelay { 800ms };
constexpr StoreFleet::Duration pullTime { 12ms };
constexpr StoreFleet::Duration leavingTime { 6s };

}

StoreFleet::StoreFleet(const Settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_hosts(settings.hosts)
    , m_domains(settings.domains)
{
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        auto& host = m_hosts[n];
        host.domain = static_cast<uint32_t>(n % settings.domains);
        host.index = static_cast<uint32_t>(m_domains[host.domain].size());
        host.revision = m_storeRevision;
        host.freshness.startedAt = m_now;
        m_domains[host.domain].push_back(static_cast<uint32_t>(n));
        // The incarnation decides which hosts are chosen, so each seed has other readers.
        m_heartbeats.push_back(
            hostHeartbeat("h" + std::to_string(n), "d" + std::to_string(host.domain), settings.seed));
        auto phase = [&](Duration interval) {
            return Duration(static_cast<int64_t>(base::uniform(m_random) * static_cast<double>(interval.count())));
        };
        schedule(phase(tickInterval), Kind::Tick, n);
        schedule(phase(FleetView::heartbeatInterval), Kind::Round, n);
    }
}

void StoreFleet::schedule(Duration after, Kind kind, size_t host, uint32_t generation, uint64_t revision)
{
    m_events.push(
        { m_now + after, ++m_eventNumber, kind, static_cast<uint32_t>(host), generation, revision, UINT64_MAX, {} });
}

bool StoreFleet::isLive(const Host& host) const
{
    return !host.hasEnded || m_now - host.endedAt < FleetView::livenessTimeout;
}

void StoreFleet::end(size_t host)
{
    m_hosts[host].hasEnded = true;
    m_hosts[host].endedAt = m_now;
    schedule(FleetView::livenessTimeout + 1ms, Kind::Liveness, host);
}

void StoreFleet::leave(size_t host)
{
    m_heartbeats[host].stage = HostStage::Leaving;
    m_areRolesCurrent = false;
    schedule(leavingTime, Kind::Liveness, host, 1);
}

void StoreFleet::setStoreDown(bool isDown)
{
    m_isStoreDown = isDown;
    for (size_t n = 0; isDown && n < m_hosts.size(); ++n) {
        if (m_hosts[n].isReading)
            schedule(storeDelay, Kind::Failure, n, m_hosts[n].generation);
        m_hosts[n].isWaiting = false;
    }
}

void StoreFleet::change()
{
    ++m_storeRevision;
    m_acknowledgedAt.push_back(m_now);
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        if (m_hosts[n].isWaiting)
            answerWaiting(n);
    }
}

void StoreFleet::answerWaiting(size_t host)
{
    m_hosts[host].isWaiting = false;
    schedule(storeDelay, Kind::Answer, host, m_hosts[host].generation, m_storeRevision);
}

void StoreFleet::runFor(Duration time)
{
    auto end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_now = end;
}

void StoreFleet::handle(const Event& event)
{
    auto& host = m_hosts[event.host];
    if (event.kind == Kind::Datagrams) {
        auto deliver = [&](uint32_t receiver) {
            auto isLost = m_settings.losesAllDatagrams || base::uniform(m_random) < m_settings.lossRate;
            if (receiver != event.host && !m_hosts[receiver].hasEnded && !isLost)
                receive(receiver, event);
        };
        if (event.generation >= firstSingle)
            return deliver(event.generation - firstSingle);
        if (isSmall()) {
            for (uint32_t n = 0; n < m_hosts.size(); ++n)
                deliver(n);
            return;
        }
        for (auto receiver : m_domains[host.domain]) {
            auto isEven = m_hosts[receiver].index % 2 == 0;
            auto isReceiver = event.generation == toAll || (event.generation == toEven) == isEven;
            if (isReceiver)
                deliver(receiver);
        }
        return;
    }
    if (event.kind == Kind::Liveness) {
        if (event.generation == 1)
            end(event.host);
        m_areRolesCurrent = false;
        return;
    }
    if (host.hasEnded)
        return;
    auto isPresentCall = host.isReading && event.generation == host.generation;
    switch (event.kind) {
    case Kind::Tick:
        return tick(event.host);
    case Kind::Round:
        return round(event.host);
    case Kind::CallArrives:
        if (!isPresentCall || host.isCut)
            return;
        m_callTimes.push_back(m_now);
        if (m_isStoreDown)
            return schedule(refusalTime, Kind::Failure, event.host, event.generation);
        host.isWaiting = true;
        if (event.revision < m_storeRevision)
            answerWaiting(event.host);
        return;
    case Kind::WatchEnds:
        if (isPresentCall && host.isWaiting)
            answerWaiting(event.host);
        return;
    case Kind::Answer:
        if (isPresentCall && !host.isCut)
            handleAnswer(event.host, event.revision);
        return;
    case Kind::Failure:
        if (isPresentCall)
            handleFailure(event.host);
        return;
    case Kind::NextCall:
        if (isPresentCall)
            startCall(event.host);
        return;
    case Kind::PullDone:
        host.isPulling = false;
        if (!m_hosts[event.generation].hasEnded && !m_settings.losesAllDatagrams)
            setRevision(event.host, m_hosts[event.generation].revision);
        return;
    case Kind::Datagrams:
    case Kind::Liveness:
        return;
    }
}

const std::vector<const Heartbeat*>& StoreFleet::orderOf(const Host& host) const
{
    return m_orders[isSmall() ? 0 : host.domain];
}

void StoreFleet::updateRoles()
{
    if (m_areRolesCurrent)
        return;
    m_areRolesCurrent = true;
    m_orders.assign(isSmall() ? 1 : m_domains.size(), {});
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        m_hosts[n].rank.reset();
        if (isLive(m_hosts[n]))
            m_orders[isSmall() ? 0 : m_hosts[n].domain].push_back(&m_heartbeats[n]);
    }
    for (size_t domain = 0; domain < m_orders.size(); ++domain) {
        auto& order = m_orders[domain];
        order = readerOrder(std::move(order));
        auto readers = smallFleetReadersOf(order);
        if (m_orders.size() > 1)
            readers.resize(std::min<size_t>(readers.size(), 1));
        for (size_t n = 0; n < readers.size(); ++n)
            m_hosts[static_cast<size_t>(readers[n] - m_heartbeats.data())].rank = m_orders.size() > 1 ? domain : n;
    }
}

std::vector<size_t> StoreFleet::chosenReaders()
{
    updateRoles();
    std::vector<size_t> readers;
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        if (m_hosts[n].rank)
            readers.push_back(n);
    }
    return readers;
}

ReaderSlot StoreFleet::slotOf(size_t host) const
{
    const auto& order = orderOf(m_hosts[host]);
    auto position = std::ranges::find(order, &m_heartbeats[host]) - order.begin();
    return { static_cast<size_t>(position), std::max<size_t>(order.size(), 1) };
}

ReaderKind StoreFleet::kindOf(const Host& host) { return readerKind(host.rank); }

void StoreFleet::tick(size_t n)
{
    updateRoles();
    auto& host = m_hosts[n];
    auto& freshness = host.freshness;
    auto age = m_now - std::max(confirmedAt(freshness), freshness.startedAt);
    if (!host.isCut)
        m_highestAge = std::max(m_highestAge, age);
    if (host.rank) {
        freshness.standsInSince.reset();
    } else if (m_settings.usesFreshness && (freshness.standsInSince || m_now >= readingDueAt(freshness, 0, 1))) {
        auto slot = slotOf(n);
        auto wasStandingIn = freshness.standsInSince.has_value();
        updateStandIn(freshness, slot.position, slot.count, m_now);
        m_standIns += !wasStandingIn && freshness.standsInSince ? 1 : 0;
    }
    auto shouldRead = host.rank || freshness.standsInSince;
    auto hangs = m_settings.usesFreshness && host.rank && host.isConnected && m_now >= readingDueAt(freshness, 0, 1);
    if (shouldRead && (!host.isReading || hangs))
        follow(n);
    else if (!shouldRead)
        host.isReading = host.isConnected = host.isWaiting = false;
    auto next = tickInterval;
    if (!host.isReading && m_settings.usesFreshness)
        next = std::clamp<Duration>(readingDueAt(freshness, 0, 1) - m_now, 25ms, tickInterval);
    schedule(next, Kind::Tick, n);
}

void StoreFleet::round(size_t n)
{
    auto& host = m_hosts[n];
    ++host.round;
    schedule(FleetView::heartbeatInterval, Kind::Round, n);
    if (isSmall())
        return send(n, toAll);
    // Hosts start at different times, so that half of them send to a given one in each round.
    send(n, (host.round + host.index) % 2 == 0 ? toEven : toOdd);
    if (host.round % 2 == 0) {
        auto target = base::uniformIndex(m_random, m_hosts.size());
        if (m_hosts[target].domain != host.domain)
            send(n, firstSingle + static_cast<uint32_t>(target));
    }
}

void StoreFleet::send(size_t n, uint32_t receivers, uint64_t after)
{
    const auto& host = m_hosts[n];
    auto isRemote = receivers >= firstSingle || isSmall();
    auto spread = static_cast<double>((m_settings.maxRemoteDelay - m_settings.minRemoteDelay).count());
    auto remoteDelay = m_settings.minRemoteDelay + Duration(static_cast<int64_t>(base::uniform(m_random) * spread));
    auto at = confirmedAt(host.freshness);
    Event event { m_now + (isRemote ? remoteDelay : localDelay), ++m_eventNumber, Kind::Datagrams,
        static_cast<uint32_t>(n), receivers, host.revision, after, Duration(-1) };
    if (at != Time {})
        event.age = m_now - at;
    m_events.push(event);
}

void StoreFleet::receive(size_t n, const Event& message)
{
    auto& host = m_hosts[n];
    if (message.revision > host.revision) {
        if (message.after <= host.revision) {
            auto before = host.revision;
            setRevision(n, message.revision);
            if (m_settings.usesFreshness && host.rank && !isSmall())
                send(n, toAll, before);
        } else if (!host.isPulling) {
            host.isPulling = true;
            auto isLocal = isSmall() || m_hosts[message.host].domain == host.domain;
            schedule((isLocal ? Duration(0) : otherDomainPullDelay) + pullTime, Kind::PullDone, n, message.host);
        }
    }
    if (message.age < Duration(0) || message.revision > host.revision)
        return;
    recordStatement(host.freshness, message.age, m_now);
    auto at = confirmedAt(host.freshness);
    if (!m_settings.usesFreshness || !host.rank || isSmall() || at - host.sentConfirmation < forwardingStep)
        return;
    host.sentConfirmation = at;
    if (m_domains[host.domain].size() - 1 <= maxForwardingDomain)
        send(n, toAll);
}

void StoreFleet::setRevision(size_t n, uint64_t revision)
{
    auto& host = m_hosts[n];
    while (host.revision < revision) {
        ++host.revision;
        if (!host.isCut && m_heartbeats[n].stage != HostStage::Leaving)
            m_oldestVersion = std::max(m_oldestVersion, m_now - m_acknowledgedAt[host.revision]);
    }
}

void StoreFleet::follow(size_t n)
{
    auto& host = m_hosts[n];
    host.isReading = true;
    host.isConnected = false;
    host.needsPromptAnswer = m_settings.usesFreshness;
    host.failures = 0;
    host.freshness.restartedAt = m_now;
    startCall(n);
}

void StoreFleet::startCall(size_t n)
{
    auto& host = m_hosts[n];
    ++host.generation;
    host.isWaiting = false;
    auto wait = host.needsPromptAnswer ? 10ms
        : m_settings.usesFreshness     ? watchTime(kindOf(host), host.freshness, m_now)
                                       : Duration(3s);
    if (host.isCut)
        return schedule(connectFailureTime, Kind::Failure, n, host.generation);
    schedule(storeDelay, Kind::CallArrives, n, host.generation, host.revision);
    schedule(storeDelay + wait, Kind::WatchEnds, n, host.generation);
    schedule(wait + watchSlack, Kind::Failure, n, host.generation);
}

void StoreFleet::handleAnswer(size_t n, uint64_t revision)
{
    auto& host = m_hosts[n];
    auto before = host.revision;
    setRevision(n, revision);
    auto hasChanges = host.revision > before;
    host.failures = 0;
    host.isConnected = true;
    host.needsPromptAnswer = false;
    m_heartbeats[n].isStoreUnreachable = false;
    recordAnswer(host.freshness, hasChanges, m_now);
    if (hasChanges) {
        sendAnswer(n, before);
    } else if (m_settings.usesFreshness) {
        sendAnswer(n, UINT64_MAX);
    }
    auto pause = m_settings.usesFreshness ? pauseAfterAnswer(kindOf(host), hasChanges)
        : hasChanges                      ? Duration(150ms)
                                          : Duration(0);
    // The answered call can no longer fail.
    ++host.generation;
    schedule(pause, Kind::NextCall, n, host.generation);
}

void StoreFleet::sendAnswer(size_t n, uint64_t after)
{
    m_hosts[n].sentConfirmation = m_now;
    send(n, toAll, after);
    for (size_t domain = 0; m_settings.usesFreshness && !isSmall() && domain < m_orders.size(); ++domain) {
        if (domain != m_hosts[n].domain && !m_orders[domain].empty())
            send(n, firstSingle + static_cast<uint32_t>(m_orders[domain].front() - m_heartbeats.data()), after);
    }
}

void StoreFleet::handleFailure(size_t n)
{
    auto& host = m_hosts[n];
    host.isConnected = host.isWaiting = false;
    host.needsPromptAnswer = m_settings.usesFreshness;
    if (!m_heartbeats[n].isStoreUnreachable) {
        m_heartbeats[n].isStoreUnreachable = true;
        m_areRolesCurrent = false;
    }
    auto first = host.freshness.standsInSince ? Duration(standInRetryDelay) : Duration(100ms);
    auto delay = std::min(first * (1 << std::min(host.failures++, 3U)), std::max<Duration>(800ms, first));
    ++host.generation;
    schedule(
        Duration(static_cast<int64_t>(static_cast<double>(delay.count()) * (0.75 + 0.5 * base::uniform(m_random)))),
        Kind::NextCall, n, host.generation);
}

StoreFleet::Duration StoreFleet::oldestVersionInUse() const
{
    auto oldest = m_oldestVersion;
    for (size_t n = 0; n < m_hosts.size(); ++n) {
        const auto& host = m_hosts[n];
        auto isCounted = !host.isCut && !host.hasEnded && m_heartbeats[n].stage != HostStage::Leaving;
        if (isCounted && host.revision < m_storeRevision)
            oldest = std::max(oldest, m_now - m_acknowledgedAt[host.revision + 1]);
    }
    return oldest;
}

size_t StoreFleet::maxCallsPerSecond() const
{
    size_t most = 0;
    size_t first = 0;
    for (size_t n = 0; n < m_callTimes.size(); ++n) {
        while (m_callTimes[n] - m_callTimes[first] >= 1s)
            ++first;
        most = std::max(most, n - first + 1);
    }
    return most;
}

void StoreFleet::resetFigures()
{
    m_callTimes.clear();
    m_oldestVersion = m_highestAge = Duration(0);
    m_standIns = 0;
}
