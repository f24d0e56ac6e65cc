#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/GatewayHost.h"
#include "papayabend/gateway/SuspectLog.h"
#include "papayabend/gateway/WaitingAttempts.h"

#include <algorithm>
#include <map>

namespace papayabend::gateway {

namespace {

    // A pull that takes this long is logged although it succeeded.
    constexpr base::Duration slowPullTime { std::chrono::milliseconds(500) };
    // Time for which the encoded answer to a pull is kept after its last use; other hosts pull the same at that time.
    constexpr base::Duration encodedContentTime { std::chrono::seconds(2) };
    // A host that has just started waits this long for the heartbeats of other hosts before it reads the store.
    constexpr base::Duration readerDelay { std::chrono::milliseconds(60) };
    // Time for which other hosts are preferred as readers after the store did not answer this one.
    constexpr base::Duration storeUnreachableTime { std::chrono::seconds(6) };
    // Share of an upstream's connection limit that all serving hosts use together; the rest is left for hosts that
    // join.
    constexpr double connectionShare = 0.92;
    // More connections than twice the requests that an upstream runs at the same time only lengthen its queue.
    constexpr uint32_t connectionsPerSlot = 2;
    // Time after a pause of the process in which it may still receive datagrams that waited during the pause.
    constexpr base::Duration resumptionTime { std::chrono::milliseconds(500) };

}

StoreEvents GatewayHost::storeEvents()
{
    StoreEvents events;
    events.listReceived = [this](const StoreList& list) {
        auto before = m_state.content.position();
        auto change = m_state.content.applyList(list, base::BootClock::now());
        logEvent("listed",
            LogFields()
                .add("keys", static_cast<int64_t>(list.items.size()))
                .add("era", static_cast<int64_t>(list.position.era))
                .add("revision", static_cast<int64_t>(list.position.revision))
                .add("revisionBefore", static_cast<int64_t>(before.revision)));
        logEra(before, "store");
        handleContentChange(change, "store");
        updateAfterContentChange();
        recordStoreAnswer(true);
        pushChanges(before);
    };
    events.eraBegun = [this](uint64_t before, uint64_t era) {
        logEvent(
            "storeEra", LogFields().add("before", static_cast<int64_t>(before)).add("era", static_cast<int64_t>(era)));
    };
    events.changesReceived = [this](const StorePage& page) {
        auto before = m_state.content.position();
        auto change = m_state.content.apply(page.items, base::BootClock::now());
        m_state.content.setComplete(std::ranges::max(page.items, {}, &StoreItem::revision).revision);
        handleContentChange(change, "store");
        recordStoreAnswer(true);
        pushChanges(before);
    };
    events.unchanged = [this] {
        recordStoreAnswer(false);
        sendConfirmation();
    };
    events.pauseTime = [this](bool hasChanges) { return fleet::pauseAfterAnswer(readerKind(), hasChanges); };
    events.appliedPosition
        = [this] { return m_state.content.hasList() ? m_state.content.position() : base::StorePosition {}; };
    events.watchTime = [this] { return fleet::watchTime(readerKind(), m_freshness, base::BootClock::now()); };
    events.regained = [this] {
        m_state.fleet.self().isStoreUnreachable = false;
        logEvent("regained", LogFields().add("dependency", "store"));
    };
    events.lost = [this](const std::string& reason) {
        m_state.fleet.self().isStoreUnreachable = true;
        m_storeUnreachableUntil = base::BootClock::now() + storeUnreachableTime;
        logEvent("lost", LogFields().add("dependency", "store").add("reason", reason));
        // Other hosts replace a chosen reader. In an outage of the store all hosts stand in and fail at the same time.
        if (!m_freshness.standsInSince)
            sendHeartbeatNow();
    };
    return events;
}

PeerEvents GatewayHost::peerEvents()
{
    PeerEvents events;
    events.messageReceived = [this](const fleet::HeartbeatMessage& message) { handleHeartbeats(message); };
    events.crashNotices = [this](bool toNewHost) {
        return m_state.suspects.notices(m_state.random, base::BootClock::now(), toNewHost);
    };
    events.limitNotices = [this] { return m_state.gate.limits.notices(m_state.random, base::BootClock::now()); };
    events.messageRefused
        = [this](const std::string& reason, const std::string& from) { logRefusedMessage(reason, from); };
    events.pullEnded = [this](const PullResult& result) {
        logPull(result);
        pullAgain(result, applyPulledContent(result));
    };
    return events;
}

void GatewayHost::logRefusedMessage(const std::string& reason, const std::string& from)
{
    logEvent("refused", LogFields().add("from", from).add("reason", reason), LineClass::Change);
}

void GatewayHost::logPull(const PullResult& result)
{
    ++m_transfers.pulls;
    m_transfers.pulledBytes += result.receivedBytes;
    m_transfers.refusedPulls += result.isBusy ? 1 : 0;
    m_transfers.failedPulls += result.problem.empty() || result.isBusy ? 0 : 1;
    if (result.isBusy || (result.problem.empty() && result.duration < slowPullTime))
        return;
    LogFields fields;
    fields.add("from", result.from).add("outcome", result.problem.empty() ? "received" : "failed");
    if (!result.problem.empty())
        fields.add("reason", result.problem);
    fields.add("bytes", static_cast<int64_t>(result.receivedBytes)).add("ms", base::toMilliseconds(result.duration));
    logEvent("pull", fields.add("revision", static_cast<int64_t>(m_state.content.revision())), LineClass::Change);
}

Answer GatewayHost::answerPull(base::StorePosition after, std::string_view puller)
{
    auto now = base::BootClock::now();
    Answer answer;
    answer.fields = "Content-Type: application/cbor\r\n";
    answer.status = m_state.content.hasList() ? 200 : 503;
    if (!m_state.content.hasList())
        return answer;
    auto& encoded = m_encodedContent;
    auto version = m_state.fleet.self().configurationVersion;
    if (encoded.bytes.empty() || encoded.after != after || encoded.position != m_state.content.position()
        || encoded.configurationVersion != version) {
        encoded = { after, m_state.content.position(), version, m_state.content.encode(after), now };
        m_transfers.encodeTime += base::BootClock::now() - now;
    }
    encoded.usedAt = now;
    if (encoded.bytes.size() > PeerLink::maxPushedBytes) {
        auto number = m_contentTransfers->begin(std::string(puller), encoded.position, now);
        if (!number) {
            answer.status = 503;
            answer.fields = "Content-Type: application/json\r\n";
            answer.body = PeerLink::busyAnswer(m_contentTransfers->receiversOf(after));
            return answer;
        }
        answer.heldUntilReceived
            = std::shared_ptr<void>(nullptr, [number = *number, weak = std::weak_ptr(m_contentTransfers)](void*) {
                  if (auto transfers = weak.lock())
                      transfers->end(number);
              });
    }
    m_transfers.sentBytes += encoded.bytes.size();
    answer.body = encoded.bytes;
    return answer;
}

void GatewayHost::dropUnusedEncoding(base::TimePoint now)
{
    if (now - m_encodedContent.usedAt > encodedContentTime)
        m_encodedContent = {};
}

void GatewayHost::pushChanges(base::StorePosition after)
{
    auto position = m_state.content.position();
    if (position <= after)
        return;
    auto addresses = fleet::confirmationTargets(m_state.fleet, base::BootClock::now());
    // All items of a later era do not fit into a datagram.
    m_peerLink.push(addresses, position.era == after.era ? m_state.content.encode(after) : std::string());
}

void GatewayHost::logEra(base::StorePosition before, const char* source)
{
    auto position = m_state.content.position();
    if (position.era == before.era)
        return;
    auto count = [this](auto matches) {
        return static_cast<int64_t>(std::ranges::count_if(
            m_state.content.upstreams().entries(), [&](const auto& it) { return matches(it.second); }));
    };
    logEvent("era",
        LogFields()
            .add("source", source)
            .add("before", static_cast<int64_t>(before.era))
            .add("revisionBefore", static_cast<int64_t>(before.revision))
            .add("era", static_cast<int64_t>(position.era))
            .add("revision", static_cast<int64_t>(position.revision))
            .add("awaitedUpstreams", count([](const auto& it) { return it.awaitedSince.has_value(); }))
            .add("doubtedUpstreams", count([](const auto& it) { return it.doubtedRecord.has_value(); })));
}

void GatewayHost::handleContentChange(const ContentChange& change, const char* source)
{
    auto revision = static_cast<int64_t>(m_state.content.revision());
    for (const auto& problem : change.problems)
        logEvent("refused", LogFields().add("source", source).add("reason", problem).add("revision", revision),
            LineClass::Change);
    if (change.isNewConfiguration) {
        const auto& configuration = *m_state.content.configuration();
        logEvent("configuration",
            LogFields()
                .add("source", source)
                .add("version", static_cast<int64_t>(configuration.version))
                .add("routes", static_cast<int64_t>(configuration.routes.size()))
                .add("idempotentRoutes",
                    std::ranges::count_if(configuration.routes, [](const auto& it) { return it.idempotent; }))
                .add("revision", revision));
        m_state.split.retain(configuration);
        for (const auto& [address, listener] : m_listeners) {
            auto limits = configuration.limits;
            if (address == m_state.settings.listen.peers)
                limits.headerBytes += RequestRelay::maxAddedBytes;
            listener->setLimits(limits);
        }
    }
    for (const auto& id : change.upstreams) {
        const auto* entry = m_state.content.upstreams().find(id);
        if (!entry)
            continue;
        auto state = entry->presence != discovery::Presence::Listed ? "missing"
            : entry->record.isDraining                              ? "draining"
                                                                    : "ready";
        LogFields fields;
        fields.add("source", source)
            .add("upstream", id)
            .add("service", entry->record.service)
            .add("address", entry->record.address)
            .add("state", state)
            .add("revision", static_cast<int64_t>(entry->revision));
        if (entry->record.warmUpLeft.count() > 0)
            fields.add("warmUpMs", base::toMilliseconds(entry->record.warmUpLeft));
        logEvent("upstream", fields, LineClass::Change);
    }
    if (change.isNewConfiguration || !change.upstreams.empty() || m_state.content.hasChangedEvacuations())
        updateAfterContentChange();
    setStatedPosition();
}

void GatewayHost::setStatedPosition()
{
    auto position = m_state.content.position();
    m_state.fleet.self().contentEra = position.era;
    m_state.fleet.self().contentRevision = position.revision;
}

void GatewayHost::logEvacuations()
{
    const auto& content = m_state.content;
    for (const auto& failureDomain : m_state.content.takeChangedEvacuations()) {
        auto upstreams = std::ranges::count_if(content.upstreams().entries(),
            [&](const auto& it) { return it.second.record.failureDomain == failureDomain; });
        logEvent("evacuation",
            LogFields()
                .add("failureDomain", failureDomain)
                .add("state", content.evacuations().isEvacuated(failureDomain) ? "begun" : "ended")
                .add("upstreams", static_cast<int64_t>(upstreams))
                .add("revision", static_cast<int64_t>(content.revision())));
    }
}

void GatewayHost::updateAfterContentChange()
{
    logEvacuations();
    if (const auto& configuration = m_state.content.configuration())
        m_state.fleet.self().configurationVersion = configuration->version;
    setStatedPosition();
    m_state.pool.retain(m_state.content.upstreams());
    endWaitingForClosed(m_state, base::BootClock::now());
    updateUpstreamConnections();
    updateStage();
}

void GatewayHost::updateUpstreamConnections()
{
    const auto& configuration = m_state.content.configuration();
    if (!configuration)
        return;
    std::set<std::string> routedServices;
    for (const auto& route : configuration->routes) {
        routedServices.insert(route.shards.begin(), route.shards.end());
        for (const auto& destination : route.destinations)
            routedServices.insert(destination.service);
    }
    auto now = base::BootClock::now();
    auto hosts = fleet::servingCount(m_state.fleet, servingSettings(), now);
    auto isServing = fleet::isServing(m_state.fleet, servingSettings(), now);
    fleet::observe(m_state.budgetShare, isServing, hosts, now);
    fleet::observe(m_state.coldShare, m_state.fleet, isServing, hosts, now);
    for (const auto& [id, entry] : m_state.content.upstreams().entries()) {
        const auto& record = entry.record;
        auto limit = configuration->maxConnections.find(record.service);
        auto totalLimit = limit == configuration->maxConnections.end() ? 0U : limit->second;
        auto share = totalLimit == 0 ? UINT32_MAX
                                     : static_cast<uint32_t>(totalLimit * connectionShare / static_cast<double>(hosts));
        auto maxConnections = isServing ? std::min(share, record.concurrency * connectionsPerSlot) : 1;
        m_state.pool.setMaxConnections(id, maxConnections, isServing);
        if (isServing && routedServices.contains(record.service) && entry.presence == discovery::Presence::Listed
            && !record.isDraining)
            m_state.pool.warm(record, 1);
    }
}

void GatewayHost::handleHeartbeats(const fleet::HeartbeatMessage& message)
{
    auto now = base::BootClock::now();
    auto before = m_state.fleet.members().size();
    // Ages in datagrams that waited while the process was paused are too low.
    checkPause(now);
    for (const auto& heartbeat : message.heartbeats) {
        auto known = m_state.fleet.members().find(heartbeat.name);
        auto isStart
            = known == m_state.fleet.members().end() || known->second.heartbeat.incarnation < heartbeat.incarnation;
        auto isNewer = m_state.fleet.apply(heartbeat, now);
        if (isNewer && isStart && &heartbeat == message.heartbeats.data())
            m_peerLink.sendKnownHosts(heartbeat.peerAddress);
    }
    mergeCrashNotices(message.crashes, now);
    m_state.gate.limits.merge(message.limits, now);
    if (m_state.fleet.members().size() != before) {
        logEvent("fleet", LogFields().add("hosts", static_cast<int64_t>(m_state.fleet.members().size() + 1)));
        updateUpstreamConnections();
    }
    if (!message.changes.empty())
        applyPushedChanges(message);
    recordStatedAge(message, now);
    pullIfBehind(now);
}

void GatewayHost::recordStoreAnswer(bool hasChanges)
{
    fleet::recordAnswer(m_freshness, hasChanges, base::BootClock::now());
    m_state.contentConfirmedAt = fleet::confirmedAt(m_freshness);
    m_state.fleet.setStoreConfirmedAt(m_state.contentConfirmedAt);
    if (hasChanges)
        m_sentConfirmation = m_state.contentConfirmedAt;
}

void GatewayHost::recordStatedAge(const fleet::HeartbeatMessage& message, base::TimePoint now)
{
    if (message.heartbeats.empty() || now - m_resumedAt < resumptionTime)
        return;
    // The other heartbeats are relayed, and their ages are those of the time when they were sent.
    const auto& sender = message.heartbeats.front();
    auto isNotBehind = m_state.content.hasList() && sender.contentPosition() <= m_state.content.position();
    if (sender.storeAgeMs == fleet::Heartbeat::unknownStoreAge || !isNotBehind)
        return;
    fleet::recordStatement(m_freshness, std::chrono::milliseconds(sender.storeAgeMs), now);
    m_state.contentConfirmedAt = fleet::confirmedAt(m_freshness);
    m_state.fleet.setStoreConfirmedAt(m_state.contentConfirmedAt);
    if (!m_readerRole.rank || m_state.fleet.isSmall()
        || m_state.contentConfirmedAt - m_sentConfirmation < fleet::forwardingStep)
        return;
    m_sentConfirmation = m_state.contentConfirmedAt;
    auto addresses = fleet::pushTargets(m_state.fleet, now);
    if (addresses.size() <= fleet::maxForwardingDomain)
        m_peerLink.push(addresses, {});
}

void GatewayHost::sendConfirmation()
{
    m_sentConfirmation = m_state.contentConfirmedAt;
    m_peerLink.push(fleet::confirmationTargets(m_state.fleet, base::BootClock::now()), {});
}

fleet::ReaderKind GatewayHost::readerKind() const { return fleet::readerKind(m_readerRole.rank); }

void GatewayHost::mergeCrashNotices(std::span<const dispatch::CrashNotice> notices, base::TimePoint now)
{
    std::map<uint64_t, uint32_t> before;
    for (const auto& notice : notices)
        before[notice.fingerprint] = m_state.suspects.losses(notice.fingerprint, now);
    m_state.suspects.merge(notices, now);
    for (const auto& [fingerprint, count] : before) {
        auto losses = m_state.suspects.losses(fingerprint, now);
        // Each host would otherwise log each connection that is reset anywhere in the fleet.
        if (losses != count && std::max(losses, count) > 1)
            logSuspect(m_log, { "peer", fingerprint, losses, {}, {} }, now);
    }
}

void GatewayHost::applyPushedChanges(const fleet::HeartbeatMessage& message)
{
    base::LastReason reason;
    auto before = m_state.content.position();
    // Changes that cannot be applied because earlier ones are missing are dropped here and pulled later: the heartbeat
    // of their sender shows that it has a newer revision.
    if (auto change = m_state.content.applyEncoded(message.changes, base::BootClock::now(), reason)) {
        logEra(before, "peer");
        handleContentChange(*change, "peer");
        if (m_state.content.position().era != before.era)
            updateAfterContentChange();
    }
    // The reader of another failure domain has sent them, and this one may be between two calls.
    if (m_readerRole.rank && !m_state.fleet.isSmall() && m_state.content.position() > before)
        m_peerLink.push(fleet::pushTargets(m_state.fleet, base::BootClock::now()), m_state.content.encode(before));
}

void GatewayHost::pullIfBehind(base::TimePoint now)
{
    if (m_peerLink.isPulling())
        return;
    const auto& content = m_state.content;
    fleet::PullInputs inputs { content.position(), content.hasList(), m_storeReader.isFollowing(),
        m_state.fleet.self().configurationVersion };
    auto source = fleet::choosePullSource(m_state.fleet, m_pullState, inputs, m_state.random, now);
    if (!source)
        return;
    m_pullSource = *source;
    m_peerLink.pull(
        source->address, source->needsAll ? base::StorePosition { content.position().era, 0 } : content.pullPosition());
}

bool GatewayHost::lacksConfiguration(base::TimePoint now) const
{
    return std::ranges::any_of(m_state.fleet.members(), [&](const auto& it) {
        return it.second.heartbeat.configurationVersion > m_state.fleet.self().configurationVersion
            && m_state.fleet.isAlive(it.second, now);
    });
}

bool GatewayHost::applyPulledContent(const PullResult& result)
{
    if (!result.problem.empty())
        return false;
    base::LastReason reason;
    auto before = m_state.content.position();
    auto versionBefore = m_state.fleet.self().configurationVersion;
    auto change = m_state.content.applyEncoded(result.content, base::BootClock::now(), reason);
    if (!change) {
        logRefusedMessage(reason.text, result.from);
        return false;
    }
    m_state.isStale = false;
    logEra(before, "peer");
    handleContentChange(*change, "peer");
    updateAfterContentChange();
    auto version = m_state.fleet.self().configurationVersion;
    fleet::recordVersion(m_pullState, m_pullSource, version);
    return m_state.content.position() > before || version > versionBefore;
}

void GatewayHost::pullAgain(const PullResult& result, bool hasAdvanced)
{
    auto now = base::BootClock::now();
    if (hasAdvanced)
        fleet::recordPull(m_pullState);
    else
        fleet::recordFruitlessPull(m_pullState, result.referrals, m_state.random, now);
    m_pullTimer.expires_after(std::max(m_pullState.notBefore - now, base::Duration(0)));
    m_pullTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            pullIfBehind(base::BootClock::now());
    });
}

void GatewayHost::checkPause(base::TimePoint now)
{
    if (!m_pauseDetector.pass(now))
        return;
    m_pauseDetector.refreshed();
    logEvent("paused", LogFields().add("pauses", static_cast<int64_t>(m_pauseDetector.pauses())));
    m_resumedAt = now;
    m_state.resumedAt = now;
    const auto& members = m_state.fleet.members();
    if (members.empty() || !m_state.content.hasList())
        return;
    m_state.isStale = true;
    auto it
        = std::next(members.begin(), static_cast<std::ptrdiff_t>(base::uniformIndex(m_state.random, members.size())));
    if (m_peerLink.isPulling())
        return;
    m_pullSource = {};
    m_peerLink.pull(it->second.heartbeat.peerAddress, m_state.content.pullPosition());
}

void GatewayHost::updateStoreReader(base::TimePoint now)
{
    auto& self = m_state.fleet.self();
    if (self.isStoreUnreachable && !m_storeReader.isFollowing() && now >= m_storeUnreachableUntil)
        self.isStoreUnreachable = false;
    m_readerRole = fleet::readerRole(m_state.fleet, now);
    auto wasStandingIn = m_freshness.standsInSince.has_value();
    if (m_readerRole.rank) {
        m_freshness.standsInSince.reset();
    } else if (wasStandingIn || (m_state.content.hasList() && now >= fleet::readingDueAt(m_freshness, 0, 1))) {
        auto slot = fleet::readerSlot(m_state.fleet, now);
        fleet::updateStandIn(m_freshness, slot.position, slot.count, now);
        m_standIns += !wasStandingIn && m_freshness.standsInSince ? 1 : 0;
    }
    auto shouldRead = now - m_startedAt >= readerDelay && (m_readerRole.rank || m_freshness.standsInSince);
    if (shouldRead == m_storeReader.isFollowing())
        return renewStoreCall(m_readerRole, now);
    logEvent("reader",
        LogFields()
            .add("reads", shouldRead ? 1 : 0)
            .add("cause", m_readerRole.rank ? "chosen" : "age")
            .add("contentAgeMs", base::toMilliseconds(now - std::max(m_state.contentConfirmedAt, m_startedAt)))
            .add("revision", static_cast<int64_t>(self.contentRevision)));
    if (!shouldRead)
        return m_storeReader.stop();
    m_freshness.restartedAt = now;
    m_storeReader.follow(m_state.content.hasList() ? std::optional(m_state.content.position()) : std::nullopt,
        m_readerRole.rank ? StoreReader::minRetryDelay : fleet::standInRetryDelay);
}

void GatewayHost::renewStoreCall(const fleet::ReaderRole& role, base::TimePoint now)
{
    // The only reader of a fleet hears nobody else, and a failed call is repeated anyway.
    if (!role.rank || role.readers < 2 || !m_storeReader.isConnected() || now < fleet::readingDueAt(m_freshness, 0, 1))
        return;
    m_freshness.restartedAt = now;
    m_storeReader.follow(m_state.content.position());
}

base::Duration GatewayHost::timeUntilReading(base::Duration time, base::TimePoint now) const
{
    auto dueAt = fleet::readingDueAt(m_freshness, 0, 1);
    if (m_storeReader.isFollowing() || !m_state.content.hasList() || dueAt > now + time)
        return time;
    constexpr base::Duration minTime { std::chrono::milliseconds(25) };
    return std::clamp(dueAt - now, minTime, std::max(minTime, time));
}

}
