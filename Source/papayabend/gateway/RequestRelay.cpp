#include "papayabend/gateway/RequestRelay.h"

#include "papayabend/fleet/Reach.h"
#include "papayabend/gateway/Address.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    // Hosts that one request is relayed to, at most.
    constexpr size_t maxTargets = 3;
    // Subtracted from the time that the other host is granted, so that its answer can still be returned.
    constexpr base::Duration relayMargin { std::chrono::milliseconds(10) };
    // An answer that arrives this long after the deadline may still be on its way.
    constexpr base::Duration lateAnswerTime { std::chrono::milliseconds(50) };
    constexpr base::Duration defaultTime { std::chrono::minutes(1) };
    constexpr uint64_t maxDeadlineMs = 3'600'000;
    constexpr size_t maxIdleConnections = 8;

    Answer answerOf(const HttpResponse& response, bool isHead)
    {
        Answer answer;
        answer.status = response.result_int();
        answer.reason = std::string(toView(response.reason()));
        answer.fields = endToEndFields(response, {});
        if (isHead && response.count(http::field::content_length))
            answer.declaredLength = std::string(toView(response[http::field::content_length]));
        answer.body = response.body();
        return answer;
    }

}

/** \class RequestRelay::Call
 * \brief One relayed request, until the client has its answer.
 */
class RequestRelay::Call : public std::enable_shared_from_this<RequestRelay::Call> {
public:
    Call(RequestRelay& relay, std::shared_ptr<ClientRequest> client)
        : m_relay(relay)
        , m_client(std::move(client))
        , m_timer(relay.m_state.io)
    {
    }

    /** Sends the request to the first host; returns false if there is none. */
    bool begin();
    void finish(const Answer&, const char* outcome);

private:
    bool sendToNext();
    void send(const std::shared_ptr<HttpConnection>&);
    void ended(const CallResult&);
    std::string requestFor() const;
    void clientLeft();
    void release();
    void logEnd(unsigned status, const char* outcome);

    RequestRelay& m_relay;
    std::shared_ptr<ClientRequest> m_client;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpConnection> m_connection;
    std::string m_target; /**< Peer address of the present host. */
    std::set<std::string> m_tried;
    std::string m_route;
    std::string m_reason;
    base::TimePoint m_deadlineAt {};
    bool m_isRepeatable { false };
    bool m_mayHaveRun { false };
    bool m_isFinished { false };
};

bool RequestRelay::Call::begin()
{
    auto& state = m_relay.m_state;
    const auto& message = m_client->message;
    auto time = defaultTime;
    if (const auto& configuration = state.content.configuration()) {
        auto host = routes::canonicalHost(toView(message[http::field::host]));
        if (const auto* route = routes::findRoute(*configuration, host, toView(message.target()))) {
            m_route = route->name;
            m_isRepeatable = route->idempotent || route->isFanOut();
            time = route->timeout.count() > 0 ? route->timeout : time;
        }
    }
    if (auto left = parseNumber(toView(message[toBeast(state.adapter.headers.deadline)])))
        time = std::min<base::Duration>(time, std::chrono::milliseconds(std::min(*left, maxDeadlineMs)));
    m_deadlineAt = m_client->arrivedAt + time;
    if (!sendToNext())
        return false;
    auto self = shared_from_this();
    m_relay.m_open.insert(self);
    m_client->onClientLeft = [weak = weak_from_this()] {
        if (auto call = weak.lock())
            call->clientLeft();
    };
    m_timer.expires_after(m_deadlineAt + lateAnswerTime - base::BootClock::now());
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
        auto call = weak.lock();
        if (!ec && call)
            call->finish(plainAnswer(504, "the host that got the request did not answer in time"), "timeout");
    });
    return true;
}

bool RequestRelay::Call::sendToNext()
{
    auto& state = m_relay.m_state;
    auto now = base::BootClock::now();
    m_target = m_tried.size() < maxTargets && now < m_deadlineAt
        ? fleet::relayTarget(state.fleet, m_tried, state.random, now)
        : std::string();
    auto endpoint = tcpEndpoint(m_target);
    if (!endpoint)
        return false;
    m_tried.insert(m_target);
    m_connection = m_relay.takeIdle(m_target);
    if (m_connection) {
        send(m_connection);
        return true;
    }
    m_connection = std::make_shared<HttpConnection>(state.io, m_relay.m_buffers, state.faults);
    auto timer = std::make_shared<boost::asio::steady_timer>(state.io, HttpConnection::connectTimeout / 2);
    timer->async_wait([weak = std::weak_ptr(m_connection)](const boost::system::error_code& ec) {
        auto late = weak.lock();
        if (!ec && late && !late->isOpen())
            late->close("connect timeout");
    });
    m_connection->open(
        *endpoint, [self = shared_from_this(), opened = m_connection, timer](const std::string& problem) {
            timer->cancel();
            if (self->m_isFinished || opened != self->m_connection)
                return;
            if (problem.empty())
                return self->send(opened);
            CallResult result;
            result.reason = problem;
            self->ended(result);
        });
    return true;
}

std::string RequestRelay::Call::requestFor() const
{
    const auto& state = m_relay.m_state;
    const auto& message = m_client->message;
    const auto& deadline = state.adapter.headers.deadline;
    auto left = std::max<int64_t>(base::toMilliseconds(m_deadlineAt - base::BootClock::now() - relayMargin), 1);
    auto fields = endToEndFields(message, { deadline, RequestRelay::relayField }) + deadline + ": "
        + std::to_string(left) + "\r\n" + std::string(RequestRelay::relayField) + ": " + state.settings.host.name
        + "\r\n";
    auto needsLength = !message.body().empty() || message.has_content_length() || message.chunked();
    return requestText(toView(message.method_string()), toView(message.target()), fields, message.body(), needsLength);
}

void RequestRelay::Call::send(const std::shared_ptr<HttpConnection>& connection)
{
    auto isHead = m_client->message.method() == http::verb::head;
    connection->send(
        requestFor(), {}, {}, isHead, [self = shared_from_this()](const CallResult& result) { self->ended(result); });
}

void RequestRelay::Call::ended(const CallResult& result)
{
    if (m_isFinished)
        return;
    if (result.end == CallEnd::Answered) {
        m_relay.keep(m_target, m_connection);
        // Another host may have run it before.
        if (m_mayHaveRun && isNotRunStatus(result.answer.result_int()))
            return finish(plainAnswer(502, "another host may have run the request: " + m_reason), "may_have_run");
        return finish(answerOf(result.answer, m_client->message.method() == http::verb::head), "relayed");
    }
    m_reason = m_target + ": " + result.reason;
    m_mayHaveRun = m_mayHaveRun || result.end != CallEnd::NotSent;
    if ((!m_mayHaveRun || m_isRepeatable) && sendToNext())
        return;
    if (m_mayHaveRun)
        return finish(plainAnswer(502, "the host that got the request may have run it: " + m_reason), "may_have_run");
    auto answer = plainAnswer(503, "the request could not be passed on to another host: " + m_reason);
    answer.fields += "Retry-After: 0.1\r\n";
    finish(answer, "not_run");
}

void RequestRelay::Call::finish(const Answer& answer, const char* outcome)
{
    if (m_isFinished)
        return;
    logEnd(answer.status, outcome);
    m_client->onClientLeft = nullptr;
    m_client->answer(answer);
    release();
}

void RequestRelay::Call::clientLeft()
{
    if (m_isFinished)
        return;
    logEnd(0, "client_left");
    release();
}

void RequestRelay::Call::release()
{
    auto self = shared_from_this();
    m_isFinished = true;
    m_timer.cancel();
    // A connection that still carries the request is closed, which ends the request at the other host.
    if (m_connection && !m_connection->isIdle())
        m_connection->close("the client no longer waits");
    m_connection.reset();
    m_relay.m_open.erase(self);
}

void RequestRelay::Call::logEnd(unsigned status, const char* outcome)
{
    auto& state = m_relay.m_state;
    auto now = base::BootClock::now();
    state.metrics.requestEnded(m_route.empty() ? "none" : m_route, outcome, now - m_client->arrivedAt);
    auto kind = isSuccess(status) ? LineClass::Success : LineClass::Failure;
    if (!state.log.mayWrite(kind, now))
        return;
    LogFields fields;
    fields.add("id", toView(m_client->message[toBeast(state.adapter.headers.requestId)]))
        .add("outcome", outcome)
        .add("status", static_cast<int64_t>(status))
        .add("ms", base::toMilliseconds(now - m_client->arrivedAt))
        .add("to", m_target)
        .add("hosts", static_cast<int64_t>(m_tried.size()));
    if (!m_reason.empty())
        fields.add("reason", m_reason);
    state.log.write(kind, "relay", fields, now);
}

RequestRelay::RequestRelay(GatewayState& state, std::shared_ptr<BufferBudget> buffers)
    : m_state(state)
    , m_buffers(std::move(buffers))
{
}

bool RequestRelay::relay(const std::shared_ptr<ClientRequest>& client)
{
    auto isBegun = std::make_shared<Call>(*this, client)->begin();
    m_relayed += isBegun ? 1 : 0;
    return isBegun;
}

void RequestRelay::endAll()
{
    auto open = m_open;
    for (const auto& call : open)
        call->finish(plainAnswer(502, "this host ends; another one may have run the request"), "may_have_run");
}

std::shared_ptr<HttpConnection> RequestRelay::takeIdle(const std::string& address)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->confirmIdle())
            return connection;
    }
    return nullptr;
}

void RequestRelay::keep(const std::string& address, const std::shared_ptr<HttpConnection>& connection)
{
    auto& idle = m_idle[address];
    if (connection->isIdle() && idle.size() < maxIdleConnections)
        idle.push_back(connection);
    else
        connection->close("enough idle connections");
}

}
