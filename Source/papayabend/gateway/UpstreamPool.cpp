#include "papayabend/gateway/UpstreamPool.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace papayabend::gateway {

namespace {

    // Idle limit of connections whose upstream has stated none.
    constexpr base::Duration defaultIdleTime { std::chrono::seconds(10) };
    // Idle limit of connections that exceed the number to keep. It is short so that upstreams have room for the
    // connections of other hosts, above all after many connections were lost.
    constexpr base::Duration surplusIdleTime { std::chrono::seconds(2) };
    // An upstream at its connection limit resets a new connection within a round trip, about eleven milliseconds
    // between failure domains.
    constexpr std::chrono::milliseconds resetWaitTime { 12 };
    // Connections per upstream on which it has not answered a request yet; more are not opened.
    constexpr size_t maxUnansweredConnections = 2;

}

UpstreamPool::UpstreamPool(boost::asio::io_context& io, std::string idName, std::shared_ptr<MessageFaults> faults,
    std::shared_ptr<BufferBudget> buffers)
    : m_io(io)
    , m_idName(std::move(idName))
    , m_faults(std::move(faults))
    , m_buffers(buffers ? std::move(buffers) : std::make_shared<BufferBudget>())
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
    auto& target = upstream(id);
    target.load.maxConnections = std::max(count, 1U);
    target.isReserved = isReserved;
}

void UpstreamPool::refreshCounts(Upstream& upstream)
{
    std::erase_if(upstream.connections, [](const auto& it) { return !it->isOpen(); });
    upstream.load.idleConnections = static_cast<uint32_t>(
        std::ranges::count_if(upstream.connections, [](const auto& it) { return it->isIdle(); }));
    upstream.load.openConnections = static_cast<uint32_t>(upstream.connections.size()) + upstream.connecting;
    upstream.load.waiting = static_cast<uint32_t>(upstream.queue.size());
}

void UpstreamPool::updateAddress(Upstream& upstream, const discovery::UpstreamRecord& record)
{
    if (upstream.address == record.address)
        return;
    upstream.address = record.address;
    auto connections = std::move(upstream.connections);
    upstream.connections.clear();
    for (const auto& connection : connections)
        connection->close("the address of the upstream has changed");
}

void UpstreamPool::submit(const discovery::UpstreamRecord& record, const std::shared_ptr<Attempt>& attempt)
{
    auto& target = upstream(record.id);
    updateAddress(target, record);
    target.queue.push_back(attempt);
    serveQueue(target);
}

void UpstreamPool::warm(const discovery::UpstreamRecord& record, uint32_t count)
{
    auto& target = upstream(record.id);
    updateAddress(target, record);
    refreshCounts(target);
    if (target.load.openConnections < count && mayConnect(target))
        connect(target);
}

void UpstreamPool::connect(Upstream& upstream, const std::function<void()>& accepted)
{
    auto endpoint = tcpEndpoint(upstream.address);
    if (!endpoint)
        return failQueue(upstream, "the address of the upstream is not an IPv4 address and port");
    ++upstream.connecting;
    ++m_counters.connectionsOpened;
    dispatch::recordTry(upstream.load.reach, base::BootClock::now());
    refreshCounts(upstream);
    auto connection = std::make_shared<HttpConnection>(m_io, m_buffers, m_faults);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, HttpConnection::connectTimeout);
    timer->async_wait([weak = std::weak_ptr(connection)](const boost::system::error_code& ec) {
        auto late = weak.lock();
        if (!ec && late && !late->isOpen())
            late->close("connect timeout");
    });
    connection->open(*endpoint, [this, id = upstream.id, connection, timer, accepted](const std::string& problem) {
        timer->cancel();
        const auto* target = find(id);
        auto mayBeReset
            = target && (!target->isReserved || target->load.acceptedConnections < target->load.maxConnections);
        if (problem.empty() && mayBeReset)
            return awaitReset(id, connection, accepted);
        if (problem.empty() && accepted)
            accepted();
        connectEnded(id, connection, problem);
    });
}

void UpstreamPool::awaitReset(
    const std::string& id, const std::shared_ptr<HttpConnection>& connection, const std::function<void()>& accepted)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, resetWaitTime);
    timer->async_wait([this, id, connection, timer, accepted](const boost::system::error_code&) {
        auto* target = find(id);
        // After a stall the reset may have arrived without having been read.
        auto isOpen = connection->confirmIdle();
        if (target && !isOpen)
            recordRefusedConnection(*target, *connection);
        if (isOpen && accepted)
            accepted();
        connectEnded(id, connection, isOpen ? "" : "reset by the upstream, which is probably at its connection limit");
    });
}

void UpstreamPool::connectEnded(
    const std::string& id, const std::shared_ptr<HttpConnection>& connection, const std::string& problem)
{
    auto* target = find(id);
    if (!target)
        return;
    --target->connecting;
    if (!problem.empty()) {
        ++m_counters.connectionsFailed;
        refreshCounts(*target);
        // A connection that is in use or being opened will serve the queue. An idle one will not: the queued attempts
        // need a fresher connection.
        if (target->load.openConnections == target->load.idleConnections)
            failQueue(*target, problem);
        return;
    }
    dispatch::recordAnswer(target->load.reach, base::BootClock::now());
    connection->setOnIdleEnd([this, id, raw = connection.get()] {
        if (auto* ended = find(id)) {
            recordRefusedConnection(*ended, *raw);
            refreshCounts(*ended);
        }
    });
    target->connections.push_back(connection);
    refreshCounts(*target);
    serveQueue(*target);
}

void UpstreamPool::probe(std::string_view id, const std::function<void()>& alive)
{
    auto* target = find(id);
    if (target && mayConnect(*target))
        connect(*target, alive);
}

void UpstreamPool::tryConnect(const discovery::UpstreamRecord& record)
{
    auto& target = upstream(record.id);
    updateAddress(target, record);
    if (mayConnect(target))
        connect(target);
}

dispatch::ReachCounts UpstreamPool::reachCounts(base::TimePoint now) const
{
    dispatch::ReachCounts counts;
    for (const auto& [id, upstream] : m_upstreams)
        dispatch::count(counts, upstream->load.reach, now);
    return counts;
}

bool UpstreamPool::mayConnect(const Upstream& upstream)
{
    // Few connections without an answer at a time, because an upstream at its connection limit resets new ones.
    auto isUnanswered = [](const auto& it) { return !it->hasAnswered() && !it->isIdle(); };
    auto unanswered
        = static_cast<size_t>(std::ranges::count_if(upstream.connections, isUnanswered)) + upstream.connecting;
    auto now = base::BootClock::now();
    return unanswered < maxUnansweredConnections && dispatch::acceptsConnections(upstream.load, now)
        && upstream.load.openConnections < dispatch::connectionLimit(upstream.load, now);
}

void UpstreamPool::recordRefusedConnection(Upstream& upstream, const HttpConnection& ended)
{
    if (ended.hasAnswered())
        return;
    auto others = std::ranges::count_if(
        upstream.connections, [&](const auto& it) { return it.get() != &ended && it->isOpen(); });
    dispatch::addRefusedConnection(upstream.load, static_cast<uint32_t>(others), base::BootClock::now());
}

std::shared_ptr<HttpConnection> UpstreamPool::idleConnectionFor(const Upstream& upstream, const Attempt& attempt)
{
    std::vector<dispatch::ConnectionState> states;
    states.reserve(upstream.connections.size());
    std::ranges::transform(upstream.connections, std::back_inserter(states), [](const auto& it) {
        return dispatch::ConnectionState { it->number(), it->isIdle(), it->idleSince(), it->idleUntil() };
    });
    dispatch::ConnectionNeeds needs { attempt.needsFreshConnection, attempt.usedConnections };
    auto n = dispatch::chooseConnection(states, needs, base::BootClock::now());
    if (!n)
        return nullptr;
    auto connection = upstream.connections[*n];
    // Of a request that cannot be retried, nobody would know whether it has run if the connection had ended.
    if (attempt.needsFreshConnection && !connection->confirmIdle())
        return idleConnectionFor(upstream, attempt);
    return connection;
}

void UpstreamPool::serveQueue(Upstream& upstream)
{
    std::erase_if(upstream.queue, [](const auto& it) { return it->isEnded; });
    // An attempt that cannot use the idle connections does not keep later ones from them.
    for (size_t n = 0; n < upstream.queue.size();) {
        auto attempt = upstream.queue[n];
        auto connection = idleConnectionFor(upstream, *attempt);
        if (!connection) {
            ++n;
            continue;
        }
        upstream.queue.erase(upstream.queue.begin() + static_cast<std::ptrdiff_t>(n));
        if (!withhold(attempt))
            sendAttempt(upstream, connection, attempt);
        // Sending may have ended attempts and changed the queue.
        std::erase_if(upstream.queue, [](const auto& it) { return it->isEnded; });
        n = 0;
    }
    refreshCounts(upstream);
    // At the connection limit, an idle connection that is not fresh enough is closed to make room for a new one.
    auto limit = dispatch::connectionLimit(upstream.load, base::BootClock::now());
    if (!upstream.queue.empty() && upstream.load.openConnections >= limit) {
        auto it = std::ranges::find_if(upstream.connections, [](const auto& each) { return each->isIdle(); });
        if (it != upstream.connections.end())
            (*it)->close("closed to make room for a new connection");
        refreshCounts(upstream);
    }
    if (upstream.connecting < upstream.queue.size() && mayConnect(upstream))
        connect(upstream);
    else if (!upstream.queue.empty() && upstream.load.openConnections == upstream.load.idleConnections)
        failQueue(upstream, "no connection is open, and the upstream has refused connections recently");
}

bool UpstreamPool::withhold(const std::shared_ptr<Attempt>& attempt)
{
    auto reason = attempt->reasonNotToSend ? attempt->reasonNotToSend() : std::string();
    if (reason.empty())
        return false;
    CallResult result;
    result.end = CallEnd::NotSent;
    result.reason = reason;
    result.isWithheld = true;
    endAttempt(attempt, std::move(result));
    return true;
}

void UpstreamPool::sendAttempt(
    Upstream& upstream, const std::shared_ptr<HttpConnection>& connection, const std::shared_ptr<Attempt>& attempt)
{
    attempt->connection = connection;
    attempt->sentAt = base::BootClock::now();
    upstream.load.sentAt.push_back(attempt->sentAt);
    dispatch::recordTry(upstream.load.reach, attempt->sentAt);
    ++m_counters.attempts;
    auto text = attempt->buildRequest(upstream.id);
    if (attempt->onSent)
        attempt->onSent(*attempt);
    connection->send(std::move(text), m_idName, attempt->requestId, attempt->isHead,
        [this, id = upstream.id, attempt](CallResult result) { attemptEnded(id, attempt, std::move(result)); });
}

void UpstreamPool::attemptEnded(const std::string& id, const std::shared_ptr<Attempt>& attempt, CallResult result)
{
    if (auto* target = find(id)) {
        auto it = std::ranges::find(target->load.sentAt, attempt->sentAt);
        if (it != target->load.sentAt.end())
            target->load.sentAt.erase(it);
        if (result.end == CallEnd::Answered)
            dispatch::recordAnswer(target->load.reach, base::BootClock::now());
        else
            ++m_counters.attemptsLost;
        auto connection = attempt->connection.lock();
        if (connection && result.end == CallEnd::Lost && !result.hadAnswerBytes)
            recordRefusedConnection(*target, *connection);
        refreshCounts(*target);
        // Posted, so that onEnd runs first; attempts that it submits are served by submit() itself.
        if (!target->queue.empty())
            boost::asio::post(m_io, [this, id] {
                auto* later = find(id);
                if (later && !later->queue.empty())
                    serveQueue(*later);
            });
    }
    endAttempt(attempt, std::move(result));
}

void UpstreamPool::rejectWaiting(std::string_view id, const std::string& reason)
{
    if (auto* target = find(id))
        failQueue(*target, reason, true);
}

void UpstreamPool::rejectWaiting(const std::function<std::string(const std::string& id)>& reasonAgainst)
{
    // Ended attempts may be submitted to other upstreams, which changes their queues.
    std::vector<std::pair<std::string, std::string>> closed;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream->queue.empty())
            continue;
        if (auto reason = reasonAgainst(id); !reason.empty())
            closed.emplace_back(id, std::move(reason));
    }
    for (const auto& [id, reason] : closed)
        rejectWaiting(id, reason);
}

void UpstreamPool::endAttempt(const std::shared_ptr<Attempt>& attempt, CallResult result)
{
    if (attempt->isEnded)
        return;
    attempt->isEnded = true;
    auto onEnd = std::move(attempt->onEnd);
    attempt->onEnd = nullptr;
    attempt->onSent = nullptr;
    attempt->buildRequest = nullptr;
    attempt->reasonNotToSend = nullptr;
    if (onEnd)
        onEnd(*attempt, std::move(result));
}

void UpstreamPool::failQueue(Upstream& upstream, const std::string& problem, bool isWithheld)
{
    auto queue = std::move(upstream.queue);
    upstream.queue.clear();
    refreshCounts(upstream);
    for (const auto& attempt : queue) {
        CallResult result;
        result.end = CallEnd::NotSent;
        result.reason = problem;
        result.isWithheld = isWithheld;
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
    if (auto* target = find(attempt->upstream)) {
        std::erase(target->queue, attempt);
        refreshCounts(*target);
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
                    connection->close("the upstream is gone");
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

size_t UpstreamPool::countLoads(const std::function<bool(const dispatch::UpstreamLoad&)>& matches) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_upstreams, [&](const auto& it) { return matches(it.second->load); }));
}

}
