#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/GatewayHost.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    // A reader's own watch shows a change within some milliseconds; hosts of another failure domain are asked when the
    // reader of the own one has not passed a change on.
    constexpr base::Duration readerBehindTime { std::chrono::milliseconds(300) };
    constexpr base::Duration foreignBehindTime { std::chrono::milliseconds(800) };
    // Before a host that has just started reads the store, others get the time to welcome it.
    constexpr base::Duration readerDelay { std::chrono::milliseconds(60) };
    // Time for which other hosts are preferred as readers after the store has failed this one.
    constexpr base::Duration turnedAwayTime { std::chrono::seconds(6) };
    // Share of an upstream's connections that the hosts use together; the rest is for hosts that join.
    constexpr double connectionShare = 0.92;
    // Connections beyond twice the requests that an upstream runs at the same time only lengthen its queue.
    constexpr uint32_t connectionsPerSlot = 2;
}

StoreEvents GatewayHost::storeEvents()
{
    StoreEvents events;
    events.paged
        = [this](const StorePage& page) { take(m_state.content.apply(page.items, base::BootClock::now()), "store"); };
    events.changed = [this](const StorePage& page) {
        auto before = m_state.content.revision();
        auto change = m_state.content.apply(page.items, base::BootClock::now());
        m_state.content.setComplete(std::ranges::max(page.items, {}, &StoreItem::revision).revision);
        take(change, "store");
        pushChanges(before);
    };
    events.listed = [this](const std::set<std::string>& keys, uint64_t asOf) {
        auto before = m_state.content.revision();
        m_state.content.retain(keys, asOf, base::BootClock::now());
        note("listed",
            LogFields().add("keys", static_cast<int64_t>(keys.size())).add("revision", static_cast<int64_t>(asOf)));
        contentChanged();
        pushChanges(before);
    };
    events.regained = [this] {
        m_state.fleet.self().isStoreUnreachable = false;
        note("regained", LogFields().add("dependency", "store"));
    };
    events.lost = [this](const std::string& reason) {
        m_state.fleet.self().isStoreUnreachable = true;
        m_storeUnreachableUntil = base::BootClock::now() + turnedAwayTime;
        note("lost", LogFields().add("dependency", "store").add("reason", reason));
        sendHeartbeatNow();
    };
    return events;
}

PeerEvents GatewayHost::peerEvents()
{
    PeerEvents events;
    events.received = [this](const fleet::HeartbeatMessage& message) { receive(message); };
    events.crashes = [this] { return m_state.suspects.notices(base::BootClock::now()); };
    events.refused = [this](const std::string& reason, const std::string& from) { noteRefused(reason, from); };
    events.content = [this](const std::string& bytes, const std::string& from) {
        base::LastReason reason;
        auto change = m_state.content.applyEncoded(bytes, base::BootClock::now(), reason);
        if (!change)
            return noteRefused(reason.text, from);
        m_state.isStale = false;
        take(*change, "peer");
        contentChanged();
    };
    return events;
}

void GatewayHost::noteRefused(const std::string& reason, const std::string& from)
{
    note("refused", LogFields().add("from", from).add("reason", reason), LineClass::Change);
}

void GatewayHost::pushChanges(uint64_t after)
{
    if (m_state.content.revision() <= after)
        return;
    auto addresses = fleet::pushTargets(m_state.fleet, base::BootClock::now());
    m_peers.push(addresses, m_state.content.encode(after));
}

void GatewayHost::take(const ContentChange& change, const char* source)
{
    auto revision = static_cast<int64_t>(m_state.content.revision());
    for (const auto& problem : change.problems)
        note("refused", LogFields().add("source", source).add("reason", problem).add("revision", revision),
            LineClass::Change);
    if (change.isNewConfiguration) {
        const auto& configuration = *m_state.content.configuration();
        note("configuration",
            LogFields()
                .add("source", source)
                .add("version", static_cast<int64_t>(configuration.version))
                .add("routes", static_cast<int64_t>(configuration.routes.size()))
                .add("idempotentRoutes",
                    std::ranges::count_if(configuration.routes, [](const auto& it) { return it.idempotent; }))
                .add("revision", revision));
        m_state.split.retain(configuration);
        for (const auto& [address, listener] : m_listeners)
            listener->setLimits(configuration.limits);
    }
    for (const auto& id : change.upstreams) {
        const auto* entry = m_state.content.upstreams().find(id);
        if (!entry)
            continue;
        auto state = entry->presence != discovery::Presence::Listed ? "missing"
            : entry->record.isDraining                              ? "draining"
                                                                    : "ready";
        note("upstream",
            LogFields()
                .add("source", source)
                .add("upstream", id)
                .add("service", entry->record.service)
                .add("address", entry->record.address)
                .add("state", state)
                .add("revision", static_cast<int64_t>(entry->revision)),
            LineClass::Change);
    }
    if (change.isNewConfiguration || !change.upstreams.empty())
        contentChanged();
    m_state.fleet.self().contentRevision = m_state.content.revision();
}

void GatewayHost::contentChanged()
{
    if (const auto& configuration = m_state.content.configuration())
        m_state.fleet.self().configurationVersion = configuration->version;
    m_state.fleet.self().contentRevision = m_state.content.revision();
    m_state.pool.retain(m_state.content.upstreams());
    refreshUpstreams();
    updateStage();
}

void GatewayHost::refreshUpstreams()
{
    const auto& configuration = m_state.content.configuration();
    if (!configuration)
        return;
    std::set<std::string> routed;
    for (const auto& route : configuration->routes) {
        routed.insert(route.shards.begin(), route.shards.end());
        for (const auto& destination : route.destinations)
            routed.insert(destination.service);
    }
    auto now = base::BootClock::now();
    auto hosts = fleet::servingCount(m_state.fleet, serving(), now);
    auto isServing = fleet::isServing(m_state.fleet, serving(), now);
    fleet::observe(m_state.budgetShare, isServing, hosts, now);
    for (const auto& [id, entry] : m_state.content.upstreams().entries()) {
        const auto& record = entry.record;
        auto limit = configuration->maxConnections.find(record.service);
        auto all = limit == configuration->maxConnections.end() ? 0U : limit->second;
        auto share = all == 0 ? UINT32_MAX : static_cast<uint32_t>(all * connectionShare / static_cast<double>(hosts));
        auto most = isServing ? std::min(share, record.concurrency * connectionsPerSlot) : 1;
        m_state.pool.setMaxConnections(id, most, isServing);
        if (isServing && routed.contains(record.service) && entry.presence == discovery::Presence::Listed
            && !record.isDraining)
            m_state.pool.warm(record, 1);
    }
}

void GatewayHost::receive(const fleet::HeartbeatMessage& message)
{
    auto now = base::BootClock::now();
    auto before = m_state.fleet.members().size();
    if (!message.heartbeats.empty() && message.heartbeats.front().contentRevision <= m_state.content.revision())
        m_state.contentConfirmedAt = now;
    for (const auto& heartbeat : message.heartbeats) {
        auto known = m_state.fleet.members().find(heartbeat.name);
        auto isStart
            = known == m_state.fleet.members().end() || known->second.heartbeat.incarnation < heartbeat.incarnation;
        auto isNewer = m_state.fleet.apply(heartbeat, now);
        if (isNewer && isStart && &heartbeat == message.heartbeats.data())
            m_peers.welcome(heartbeat.peerAddress);
    }
    m_state.suspects.merge(message.crashes, now);
    if (m_state.fleet.members().size() != before) {
        note("fleet", LogFields().add("hosts", static_cast<int64_t>(m_state.fleet.members().size() + 1)));
        refreshUpstreams();
    }
    if (!message.changes.empty())
        takeChanges(message);
    pullIfBehind(now);
}

void GatewayHost::takeChanges(const fleet::HeartbeatMessage& message)
{
    base::LastReason reason;
    // Changes that do not follow on what this host has are pulled from their sender, whose heartbeat shows that it is
    // ahead.
    if (auto change = m_state.content.applyEncoded(message.changes, base::BootClock::now(), reason)) {
        take(*change, "peer");
        m_state.fleet.self().contentRevision = m_state.content.revision();
    }
}

base::Duration GatewayHost::behindTime(const fleet::Member& ahead) const
{
    if (!m_state.content.hasList())
        return base::Duration(0);
    if (m_store.isFollowing())
        return readerBehindTime;
    auto isNear = m_state.fleet.isSmall() || ahead.heartbeat.failureDomain == m_state.settings.host.failureDomain;
    return isNear ? base::Duration(0) : foreignBehindTime;
}

void GatewayHost::pullIfBehind(base::TimePoint now)
{
    // One of those that may be asked soonest, at random, so that not all hosts ask the same one.
    const fleet::Member* ahead = nullptr;
    uint64_t candidates = 0;
    for (const auto& [name, member] : m_state.fleet.members()) {
        auto isAhead
            = member.heartbeat.contentRevision > m_state.content.revision() && m_state.fleet.isAlive(member, now);
        if (!isAhead || (ahead && behindTime(member) > behindTime(*ahead)))
            continue;
        if (!ahead || behindTime(member) < behindTime(*ahead))
            candidates = 0;
        ++candidates;
        if (base::uniformIndex(m_state.random, candidates) == 0)
            ahead = &member;
    }
    if (!ahead) {
        m_behindSince = {};
        return;
    }
    if (m_behindSince == base::TimePoint {})
        m_behindSince = now;
    if (now - m_behindSince < behindTime(*ahead))
        return;
    m_peers.pull(ahead->heartbeat.peerAddress, m_state.content.pullRevision());
}

void GatewayHost::checkPause(base::TimePoint now)
{
    if (!m_pauses.pass(now))
        return;
    m_pauses.refreshed();
    note("paused", LogFields().add("pauses", static_cast<int64_t>(m_pauses.pauses())));
    m_resumedAt = now;
    const auto& members = m_state.fleet.members();
    if (members.empty() || !m_state.content.hasList())
        return;
    m_state.isStale = true;
    auto it
        = std::next(members.begin(), static_cast<std::ptrdiff_t>(base::uniformIndex(m_state.random, members.size())));
    m_peers.pull(it->second.heartbeat.peerAddress, m_state.content.pullRevision());
}

void GatewayHost::updateReader(base::TimePoint now)
{
    auto& self = m_state.fleet.self();
    if (self.isStoreUnreachable && !m_store.isFollowing() && now >= m_storeUnreachableUntil)
        self.isStoreUnreachable = false;
    auto isDue = now - m_startedAt >= readerDelay && fleet::isReader(m_state.fleet, now);
    if (isDue == m_store.isFollowing())
        return;
    note("reader", LogFields().add("reads", isDue ? 1 : 0).add("revision", static_cast<int64_t>(self.contentRevision)));
    if (!isDue)
        return m_store.stop();
    m_store.follow(m_state.content.hasList() ? std::optional(m_state.content.revision()) : std::nullopt);
}

}
