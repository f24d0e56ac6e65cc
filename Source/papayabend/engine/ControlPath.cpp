#include "papayabend/engine/ControlPath.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace papayabend::engine {

namespace {

    using namespace std::chrono_literals;
    using dissemination::Comparison;
    using dissemination::OfferedValue;
    using membership::ObservationResult;

    constexpr base::Duration requestTimeout = 400ms;
    constexpr membership::PeerCounts pushFanOut { 2, 1, 0 };
    // Changes up to this size are sent with a push or an answer, larger ones only on request.
    constexpr size_t maxAttachedBytes = 16 * 1024;
    constexpr size_t maxRemembered = 32;
    constexpr std::string_view hostsKey = "hosts";

    size_t textBytes(const std::vector<ValueDelta>& deltas)
    {
        size_t bytes = 0;
        for (const auto& it : deltas)
            bytes += it.text.size();
        return bytes;
    }

    void append(std::vector<ValueDelta>& to, std::vector<ValueDelta>&& from)
    {
        std::ranges::move(from, std::back_inserter(to));
    }

    void remember(std::vector<std::string>& addresses, const std::string& address)
    {
        if (address.empty() || std::ranges::find(addresses, address) != addresses.end())
            return;
        if (addresses.size() == maxRemembered)
            addresses.erase(addresses.begin());
        addresses.push_back(address);
    }

}

ControlPath::ControlPath(SharedState& shared)
    : m_shared(shared)
    , m_random(shared.seed ^ base::hash(shared.identity.name, shared.identity.incarnation))
    , m_members(membership::makeMembers(shared.identity))
{
    m_values[0].stored.key = "table";
    m_values[1].stored.key = "catalog";
    m_values[2].stored.key = hostsKey;
    m_readiness.publish(std::make_shared<const Readiness>(assess()));
}

ControlPath::Value* ControlPath::find(std::string_view key)
{
    auto it = std::ranges::find(m_values, key, [](const Value& value) { return std::string_view(value.stored.key); });
    return it == m_values.end() ? nullptr : &*it;
}

Actions ControlPath::valuePublished(std::string_view key, std::string_view text, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    pass(now, actions);
    auto* value = find(key);
    if (!value)
        return actions;
    offer(*value, { std::string(text), 0, base::hash(text) }, Origin::Platform, now, actions);
    updateReadiness(now, actions);
    return actions;
}

Actions ControlPath::hostListPublished(std::string_view text, base::TimePoint now)
{
    return valuePublished(hostsKey, text, now);
}

Actions ControlPath::platformReadEnded(std::string_view key, ReadStatus status, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    pass(now, actions);
    auto* value = find(key);
    if (!value)
        return actions;
    readEnded(value->plan, status != ReadStatus::Failed, value->wasNewVersion, now, m_random);
    value->wasNewVersion = false;
    auto index = static_cast<size_t>(value - m_values.data());
    if (status != ReadStatus::Failed && index < m_readsAtResume.size() && value->plan.started > m_readsAtResume[index])
        m_isReadSinceResume[index] = true;
    updateReadiness(now, actions);
    readPlatform(now, actions);
    return actions;
}

// Validates a text and replaces the value that the request paths read. Gives the version it carries.
bool ControlPath::putInForce(
    Value& value, const std::string& text, base::TimePoint now, uint64_t& version, base::LastReason& reason)
{
    const auto& stored = value.stored;
    auto isNewer = [&] { return compare(stored, version, base::hash(text)) == Comparison::Newer; };
    if (stored.key == "table") {
        auto parsed = table::parseTable(text, reason);
        version = parsed ? parsed->version : 0;
        if (parsed && isNewer())
            m_shared.table.publish(std::make_shared<const table::Table>(std::move(*parsed)));
        return parsed.has_value();
    }
    if (stored.key == "catalog") {
        auto parsed = catalog::parseCatalog(text, m_shared.upstreamNames, reason);
        version = parsed ? parsed->version : 0;
        if (parsed && isNewer())
            m_shared.catalog.publish(std::make_shared<const catalog::Catalog>(std::move(*parsed)));
        return parsed.has_value();
    }
    auto parsed = membership::parseHostList(text, reason);
    version = parsed ? parsed->version : 0;
    if (parsed && isNewer())
        membership::applyHostList(m_members, *parsed, now);
    return parsed.has_value();
}

void ControlPath::offer(Value& value, OfferedValue&& offered, Origin origin, base::TimePoint now, Actions& actions)
{
    auto& stored = value.stored;
    auto isFromPlatform = origin == Origin::Platform;
    if (offered.contentHash == stored.contentHash && stored.version != 0)
        return;
    if (stored.refused && stored.refused->contentHash == offered.contentHash)
        return;
    base::LastReason reason;
    uint64_t version = 0;
    auto wasPublished = compare(stored, offered.version, offered.contentHash);
    if (!isFromPlatform && wasPublished != Comparison::Newer)
        return;
    if (!putInForce(value, offered.text, now, version, reason)) {
        refuse(stored, { stored.key, offered.version, offered.contentHash });
        actions.emplace_back(StateChange { stored.key, "refused: " + reason.text });
        return;
    }
    auto comparison = compare(stored, version, offered.contentHash);
    if (auto text = countRejectedOffer(stored, comparison, { stored.key, version, offered.contentHash }))
        actions.emplace_back(StateChange { stored.key, *text });
    if (comparison != Comparison::Newer)
        return;
    store(stored, std::move(offered.text), version, offered.contentHash);
    value.wasNewVersion = value.wasNewVersion || isFromPlatform;
    if (value.announced.version <= version)
        value.announced = {};
    // The host list changes with every restart in the fleet, which is no news to an operator.
    if (stored.key != hostsKey)
        actions.emplace_back(StateChange { stored.key, "version " + std::to_string(version) + " in force" });
    push(value, actions);
}

void ControlPath::push(const Value& value, Actions& actions)
{
    if (!m_isStarted)
        return;
    auto message = compose();
    const auto& history = value.stored.history;
    if (!history.empty() && history.back().text.size() <= maxAttachedBytes)
        message.deltas.push_back(history.back());
    for (const auto& peer : choosePeers(m_members, pushFanOut, m_random)) {
        if (!peer.address.empty())
            send(peer.address, message, actions);
    }
    message.deltas.clear();
    for (const auto& address : std::exchange(m_waiting, {}))
        send(address, message, actions);
}

PeerMessage ControlPath::compose() const
{
    PeerMessage message;
    message.sender = m_members.self;
    for (const auto& value : m_values)
        message.digests.push_back(digest(value.stored));
    return message;
}

void ControlPath::send(const std::string& address, PeerMessage message, Actions& actions)
{
    ++m_counters.messagesSent;
    actions.emplace_back(SendPeerMessage { address, std::move(message) });
}

void ControlPath::probe(const std::vector<membership::Peer>& peers, base::TimePoint now, Actions& actions)
{
    auto probe = ++m_lastProbe;
    for (const auto& peer : peers) {
        if (peer.address.empty() || peer.address == m_members.self.peerAddress)
            continue;
        auto message = compose();
        message.probe = probe;
        message.hosts = takePendingObservations(m_members);
        if (!peer.name.empty())
            probeSent(m_members, peer.name, now);
        send(peer.address, std::move(message), actions);
    }
}

std::vector<membership::Peer> ControlPath::seedPeers(size_t count)
{
    std::vector<membership::Peer> peers;
    const auto& seeds = m_shared.identity.seeds;
    for (; count > 0 && !seeds.empty(); --count)
        peers.push_back({ {}, seeds[base::uniformIndex(m_random, seeds.size())] });
    return peers;
}

Actions ControlPath::peerMessage(const PeerMessage& message, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    Actions actions;
    pass(now, actions);
    auto answer = compose();
    auto take = [&](const membership::HostObservation& it, bool isDirect) {
        if (applyObservation(m_members, it, isDirect, now) != ObservationResult::Older
            || answer.hosts.size() >= membership::maxObservations)
            return;
        auto other = m_members.others.find(it.name);
        answer.hosts.push_back(other == m_members.others.end() ? m_members.self : other->second.seen);
    };
    take(message.sender, true);
    for (const auto& it : message.hosts)
        take(it, false);
    takeDeltas(message, now, actions);
    takeDigests(message, answer, now, actions);
    answerRequests(message, answer);
    takeAnswer(message, now);
    // The digests may have changed while the message was taken.
    answer.digests = compose().digests;
    answer.answerTo = message.probe;
    auto isDue = message.probe != 0 || !answer.hosts.empty() || !answer.deltas.empty() || !answer.valueRequests.empty();
    if (message.probe != 0) {
        for (auto& it : takePendingObservations(m_members)) {
            if (answer.hosts.size() < membership::maxObservations)
                answer.hosts.push_back(std::move(it));
        }
    }
    if (isDue && !message.sender.peerAddress.empty() && message.sender.name != m_members.self.name)
        send(message.sender.peerAddress, std::move(answer), actions);
    updateReadiness(now, actions);
    return actions;
}

void ControlPath::takeDeltas(const PeerMessage& message, base::TimePoint now, Actions& actions)
{
    for (auto& value : m_values) {
        base::LastReason reason;
        if (auto offered = applyChanges(value.stored, message.deltas, reason))
            offer(value, std::move(*offered), Origin::Peer, now, actions);
        else if (!reason.text.empty())
            ++m_counters.changesRefused;
    }
}

void ControlPath::takeDigests(const PeerMessage& message, PeerMessage& answer, base::TimePoint now, Actions& actions)
{
    for (const auto& it : message.digests) {
        auto* value = find(it.key);
        if (!value || it.version == 0)
            continue;
        auto& stored = value->stored;
        auto comparison = compare(stored, it.version, it.contentHash);
        if (comparison == Comparison::Conflict) {
            if (auto text = countRejectedOffer(stored, comparison, it))
                actions.emplace_back(StateChange { stored.key, *text });
        } else if (comparison == Comparison::Older && message.answerTo == 0) {
            auto changes = answerRequest(stored, { it.key, it.version, it.contentHash });
            if (textBytes(changes) <= maxAttachedBytes)
                append(answer.deltas, std::move(changes));
        } else if (comparison == Comparison::Newer) {
            auto& announced = value->announced;
            if (it.version > announced.version)
                announced = { it.version, {}, announced.retryAt, now };
            if (it.version == announced.version)
                remember(announced.holders, message.sender.peerAddress);
            if (now < announced.retryAt)
                continue;
            announced.retryAt = now + requestTimeout;
            answer.valueRequests.push_back({ it.key, stored.version, stored.contentHash });
        }
    }
}

void ControlPath::answerRequests(const PeerMessage& message, PeerMessage& answer)
{
    for (const auto& request : message.valueRequests) {
        auto* value = find(request.key);
        if (!value)
            continue;
        if (value->stored.version == 0) {
            remember(m_waiting, message.sender.peerAddress);
            continue;
        }
        auto changes = answerRequest(value->stored, request);
        if (textBytes(changes) > maxAttachedBytes) {
            if (m_wholeValueTokens < 1) {
                ++m_counters.referrals;
                for (const auto& it : m_served) {
                    if (answer.hosts.size() < membership::maxObservations)
                        answer.hosts.push_back(it);
                }
                continue;
            }
            m_wholeValueTokens -= 1;
            ++m_counters.wholeValuesSent;
            m_served.push_front(message.sender);
            if (m_served.size() > membership::maxObservations)
                m_served.pop_back();
        }
        append(answer.deltas, std::move(changes));
    }
    // A starting host asks with empty digests; it is told when there is a value.
    auto isEmpty = std::ranges::any_of(message.digests, [](const auto& it) { return it.version == 0; });
    if (isEmpty && std::ranges::any_of(m_values, [](const Value& it) { return it.stored.version == 0; }))
        remember(m_waiting, message.sender.peerAddress);
}

void ControlPath::takeAnswer(const PeerMessage& message, base::TimePoint now)
{
    if (message.answerTo == 0)
        return;
    m_lastPeerAnswer = now;
    auto hasValues = [&](std::string_view key) {
        auto it = std::ranges::find(message.digests, key, &dissemination::ValueDigest::key);
        return it != message.digests.end() && it->version != 0;
    };
    if (!hasValues("table") || !hasValues("catalog"))
        return;
    m_peersAnswered = true;
    // An answer that was sent before the pause may be as old as the pause is long.
    if (m_pauses.isStale() && message.answerTo >= m_firstFreshProbe && m_handledPauses == m_pauses.pauses())
        m_isReadSinceResume = { true, true };
}

}
