#include "papayabend/gateway/UpstreamPool.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace papayabend::gateway {

namespace {

    // An idle connection whose peer states no limit is closed after this time.
    constexpr base::Duration defaultIdleTime { std::chrono::seconds(10) };
    // An idle connection beyond those that are kept is closed after this time, so that upstreams have room for the
    // connections of other hosts, above all after a loss of many.
    constexpr base::Duration surplusIdleTime { std::chrono::seconds(2) };
    // A request that cannot be repeated goes to a connection that was used this recently, or to a new one.
    // Resets come within a round trip between failure domains, some eleven milliseconds.
    constexpr std::chrono::milliseconds settleTime { 12 };
    // Connections on which an upstream has answered nothing yet.
    constexpr size_t maxUnproven = 2;
    constexpr base::Duration freshTime { std::chrono::milliseconds(900) };

}

UpstreamPool::UpstreamPool(boost::asio::io_context& io, std::string idName)
    : m_io(io)
    , m_idName(std::move(idName))
{
}

UpstreamPool::Upstream* UpstreamPool::find(std::string_view id)
{
    auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : it->second.get();
}

UpstreamPool::Upstream& UpstreamPool::upstream(std::string_view id)
{
    auto* known = find(id);
    if (known)
        return *known;
    auto created = std::make_unique<Upstream>();
    created->id = id;
    return *m_upstreams.emplace(id, std::move(created)).first->second;
}

dispatch::UpstreamLoad& UpstreamPool::load(std::string_view id) { return upstream(id).load; }

void UpstreamPool::setMaxConnections(std::string_view id, uint32_t count, bool isReserved)
{
    auto& to = upstream(id);
    to.load.maxConnections = std::max(count, 1U);
    to.isReserved = isReserved;
}

void UpstreamPool::refreshCounts(Upstream& upstream)
{
    std::erase_if(upstream.connections, [](const auto& it) { return !it->isOpen(); });
    upstream.load.idleConnections = static_cast<uint32_t>(
        std::ranges::count_if(upstream.connections, [](const auto& it) { return it->isIdle(); }));
    upstream.load.openConnections = static_cast<uint32_t>(upstream.connections.size()) + upstream.connecting;
    upstream.load.waiting = static_cast<uint32_t>(upstream.queue.size());
}

void UpstreamPool::use(Upstream& upstream, const discovery::UpstreamRecord& record)
{
    if (upstream.address == record.address)
        return;
    upstream.address = record.address;
    auto connections = std::move(upstream.connections);
    upstream.connections.clear();
    for (const auto& connection : connections)
        connection->close("the upstream has another address");
}

void UpstreamPool::submit(const discovery::UpstreamRecord& record, const std::shared_ptr<Attempt>& attempt)
{
    auto& to = upstream(record.id);
    use(to, record);
    to.queue.push_back(attempt);
    serveQueue(to);
}

void UpstreamPool::warm(const discovery::UpstreamRecord& record, uint32_t count)
{
    auto& to = upstream(record.id);
    use(to, record);
    refreshCounts(to);
    if (to.load.openConnections < count && mayConnect(to))
        connect(to);
}

void UpstreamPool::connect(Upstream& upstream)
{
    auto endpoint = tcpEndpoint(upstream.address);
    if (!endpoint)
        return failQueue(upstream, "the address is not valid");
    ++upstream.connecting;
    ++m_counters.connectionsOpened;
    refreshCounts(upstream);
    auto connection = std::make_shared<HttpConnection>(m_io);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, HttpConnection::connectTimeout);
    timer->async_wait([weak = std::weak_ptr(connection)](const boost::system::error_code& ec) {
        auto late = weak.lock();
        if (!ec && late && !late->isOpen())
            late->close("the connection was not established in time");
    });
    connection->open(*endpoint, [this, id = upstream.id, connection, timer](const std::string& problem) {
        timer->cancel();
        const auto* to = find(id);
        auto mayBeReset = to && (!to->isReserved || to->load.acceptedConnections < to->load.maxConnections);
        if (problem.empty() && mayBeReset)
            return settle(id, connection);
        connected(id, connection, problem);
    });
}

void UpstreamPool::settle(const std::string& id, const std::shared_ptr<HttpConnection>& connection)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, settleTime);
    timer->async_wait([this, id, connection, timer](const boost::system::error_code&) {
        auto* to = find(id);
        if (to && !connection->isOpen())
            noteRefused(*to, *connection);
        connected(id, connection, connection->isOpen() ? "" : "reset by an upstream at its bound");
    });
}

void UpstreamPool::connected(
    const std::string& id, const std::shared_ptr<HttpConnection>& connection, const std::string& problem)
{
    auto* to = find(id);
    if (!to)
        return;
    --to->connecting;
    if (!problem.empty()) {
        ++m_counters.connectionsFailed;
        refreshCounts(*to);
        // One that is in use or being opened will serve the queue; an idle one was not fit for it.
        if (to->load.openConnections == to->load.idleConnections)
            failQueue(*to, problem);
        return;
    }
    connection->setOnIdleEnd([this, id, raw = connection.get()] {
        if (auto* ended = find(id)) {
            noteRefused(*ended, *raw);
            refreshCounts(*ended);
        }
    });
    to->connections.push_back(connection);
    refreshCounts(*to);
    serveQueue(*to);
}

bool UpstreamPool::mayConnect(const Upstream& upstream)
{
    // One at a time until the upstream has answered on it, since an upstream at its bound resets it after a moment.
    auto isUnproven = [](const auto& it) { return !it->isProven() && !it->isIdle(); };
    auto unproven = static_cast<size_t>(std::ranges::count_if(upstream.connections, isUnproven)) + upstream.connecting;
    auto now = base::BootClock::now();
    return unproven < maxUnproven && dispatch::acceptsConnections(upstream.load, now)
        && upstream.load.openConnections < dispatch::connectionLimit(upstream.load, now);
}

void UpstreamPool::noteRefused(Upstream& upstream, const HttpConnection& ended)
{
    if (ended.isProven())
        return;
    auto others = std::ranges::count_if(
        upstream.connections, [&](const auto& it) { return it.get() != &ended && it->isOpen(); });
    dispatch::addRefusedConnection(upstream.load, static_cast<uint32_t>(others), base::BootClock::now());
}

std::shared_ptr<HttpConnection> UpstreamPool::idleConnection(Upstream& upstream, bool fresh)
{
    auto now = base::BootClock::now();
    std::shared_ptr<HttpConnection> best;
    for (const auto& connection : upstream.connections) {
        if (!connection->isIdle() || connection->idleUntil().value_or(now) < now)
            continue;
        if (fresh && now - connection->idleSince() > freshTime)
            continue;
        // The one that was used last, so that surplus connections reach their idle limit.
        if (!best || connection->idleSince() > best->idleSince())
            best = connection;
    }
    return best;
}

void UpstreamPool::serveQueue(Upstream& upstream)
{
    std::erase_if(upstream.queue, [](const auto& it) { return it->isEnded; });
    while (!upstream.queue.empty()) {
        auto attempt = upstream.queue.front();
        auto connection = idleConnection(upstream, attempt->needsFreshConnection);
        if (!connection)
            break;
        upstream.queue.pop_front();
        start(upstream, connection, attempt);
    }
    refreshCounts(upstream);
    // A connection that is idle but not fresh enough makes way for a new one.
    auto limit = dispatch::connectionLimit(upstream.load, base::BootClock::now());
    if (!upstream.queue.empty() && upstream.load.openConnections >= limit) {
        auto it = std::ranges::find_if(upstream.connections, [](const auto& each) { return each->isIdle(); });
        if (it != upstream.connections.end())
            (*it)->close("replaced by a new connection");
        refreshCounts(upstream);
    }
    if (upstream.connecting < upstream.queue.size() && mayConnect(upstream))
        connect(upstream);
    else if (!upstream.queue.empty() && upstream.load.openConnections == 0)
        failQueue(upstream, "it has refused connections a moment ago");
}

void UpstreamPool::start(
    Upstream& upstream, const std::shared_ptr<HttpConnection>& connection, const std::shared_ptr<Attempt>& attempt)
{
    attempt->connection = connection;
    attempt->sentAt = base::BootClock::now();
    upstream.load.sentAt.push_back(attempt->sentAt);
    ++m_counters.attempts;
    auto text = attempt->text(upstream.id);
    if (attempt->onSent)
        attempt->onSent(*attempt);
    connection->send(std::move(text), m_idName, attempt->requestId, attempt->isHead,
        [this, id = upstream.id, attempt](CallResult result) { ended(id, attempt, std::move(result)); });
}

void UpstreamPool::ended(const std::string& id, const std::shared_ptr<Attempt>& attempt, CallResult result)
{
    if (auto* from = find(id)) {
        auto it = std::ranges::find(from->load.sentAt, attempt->sentAt);
        if (it != from->load.sentAt.end())
            from->load.sentAt.erase(it);
        if (result.end != CallEnd::Answered)
            ++m_counters.attemptsLost;
        auto connection = attempt->connection.lock();
        if (connection && result.end == CallEnd::Lost && !result.hadAnswerBytes)
            noteRefused(*from, *connection);
        refreshCounts(*from);
        // The queue is served after the caller has taken the result; what that submits is served at once.
        if (!from->queue.empty())
            boost::asio::post(m_io, [this, id] {
                auto* later = find(id);
                if (later && !later->queue.empty())
                    serveQueue(*later);
            });
    }
    endAttempt(attempt, std::move(result));
}

void UpstreamPool::endAttempt(const std::shared_ptr<Attempt>& attempt, CallResult result)
{
    if (attempt->isEnded)
        return;
    attempt->isEnded = true;
    auto onEnd = std::move(attempt->onEnd);
    attempt->onEnd = nullptr;
    attempt->onSent = nullptr;
    attempt->text = nullptr;
    if (onEnd)
        onEnd(*attempt, std::move(result));
}

void UpstreamPool::failQueue(Upstream& upstream, const std::string& problem)
{
    auto queue = std::move(upstream.queue);
    upstream.queue.clear();
    refreshCounts(upstream);
    for (const auto& attempt : queue) {
        CallResult result;
        result.end = CallEnd::NotSent;
        result.reason = problem;
        endAttempt(attempt, std::move(result));
    }
}

void UpstreamPool::cancel(const std::shared_ptr<Attempt>& attempt, std::string_view reason)
{
    if (attempt->isEnded)
        return;
    if (auto connection = attempt->connection.lock())
        return connection->close(reason);
    CallResult result;
    result.end = CallEnd::NotSent;
    result.reason = reason;
    if (auto* from = find(attempt->upstream)) {
        std::erase(from->queue, attempt);
        refreshCounts(*from);
    }
    endAttempt(attempt, std::move(result));
}

void UpstreamPool::sweep(size_t keptIdle, base::TimePoint now)
{
    for (auto& [id, upstream] : m_upstreams) {
        auto connections = upstream->connections;
        size_t kept = 0;
        for (const auto& connection : connections) {
            auto limit = connection->idleUntil().value_or(connection->idleSince() + defaultIdleTime);
            auto isSurplus = kept >= keptIdle && now - connection->idleSince() > surplusIdleTime;
            if (connection->isIdle() && (now > limit || isSurplus))
                connection->close("idle");
            else
                ++kept;
        }
        refreshCounts(*upstream);
    }
}

void UpstreamPool::retain(const discovery::UpstreamDirectory& directory)
{
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        const auto* entry = directory.find(it->first);
        auto& upstream = *it->second;
        auto isUsable = entry && entry->presence != discovery::Presence::Gone;
        if (!isUsable) {
            auto connections = upstream.connections;
            for (const auto& connection : connections) {
                if (connection->isIdle())
                    connection->close("the upstream has gone");
            }
            refreshCounts(upstream);
        }
        auto isUnused = upstream.connections.empty() && upstream.queue.empty() && upstream.connecting == 0;
        it = !entry && isUnused ? m_upstreams.erase(it) : std::next(it);
    }
}

size_t UpstreamPool::openConnections() const
{
    size_t sum = 0;
    for (const auto& [id, upstream] : m_upstreams)
        sum += upstream->connections.size();
    return sum;
}

}
