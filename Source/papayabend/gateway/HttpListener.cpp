#include "papayabend/gateway/HttpListener.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_set>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t readBytes = 16 * 1024;
    // Input that is read from a client before its current request is answered.
    constexpr size_t maxPipelinedBytes = 64 * 1024;
    constexpr std::chrono::milliseconds sweepInterval { 500 };
    // Pause after a failed accept, for example because the process has no free file descriptor.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    // Time for a client to receive its answer.
    constexpr base::Duration writeTimeout { std::chrono::seconds(10) };
    // Time for a client to close its connection after the last answer.
    constexpr base::Duration lingerTimeout { std::chrono::seconds(1) };
    // Added to the idle limit: clients reuse a connection until the limit, and a request that arrives while the
    // connection is being closed is lost.
    constexpr base::Duration idleMargin { std::chrono::seconds(1) };
    constexpr int listenBacklog = 1024;
    constexpr auto memoryReason = "unfinished messages use too much memory of this host; the request has not run";
    constexpr auto memoryRetryAfter = "Retry-After: 0.5\r\n";

    enum class Phase {
        Idle, // between two requests
        Reading, // a part of a request was read
        Handling, // the handler has the request
        Writing, // the answer is being written
        Lingering, // the last answer was written; input is discarded until the client closes
    };

    /** Returns the round trip that the kernel has measured on a connection, or 0 if it tells none. */
    base::Duration roundTripOf(tcp::socket& socket)
    {
        tcp_info info {};
        socklen_t n = sizeof(info);
        if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
            return base::Duration(0);
        return std::chrono::microseconds(info.tcpi_rtt);
    }

}

/** \struct HttpListener::Impl
 * \brief State of the listener that its connections share.
 */
struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl> {
    struct Connection;

    Impl(asio::io_context& context, Handler receiver, std::shared_ptr<MessageFaults> messageFaults,
        std::shared_ptr<BufferBudget> sharedBuffers)
        : io(context)
        , acceptor(context)
        , sweepTimer(context)
        , retryTimer(context)
        , handler(std::move(receiver))
        , faults(messageFaults ? std::move(messageFaults) : std::make_shared<MessageFaults>())
        , buffers(std::move(sharedBuffers))
    {
    }
    void accept();
    void sweep();

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    asio::steady_timer retryTimer;
    Handler handler;
    std::shared_ptr<MessageFaults> faults;
    std::shared_ptr<BufferBudget> buffers;
    routes::ClientLimits limits;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    size_t requests { 0 };
    bool closesAfterAnswer { false };
    bool isStopped { false };
};

/** \struct HttpListener::Impl::Connection
 * \brief One client connection.
 */
struct HttpListener::Impl::Connection : std::enable_shared_from_this<Connection> {
    Connection(std::shared_ptr<Impl> shared, tcp::socket accepted)
        : owner(std::move(shared))
        , socket(std::move(accepted))
    {
    }

    using Parser = http::request_parser<ReceivedBody>;

    void start()
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        socket.non_blocking(true, ec);
        path = { roundTripOf(socket), true };
        // Posted, because the hold is revoked while another connection is being served.
        hold.emplace(owner->buffers, [this, weak = weak_from_this()] {
            asio::post(owner->io, [weak] {
                auto self = weak.lock();
                if (self && self->hold->isRevoked())
                    self->contain([&] { self->giveUpBuffers(); });
            });
        });
        nextRequest();
        waitForInput();
    }

    void nextRequest()
    {
        phase = Phase::Idle;
        hasSentContinue = false;
        requestBytes = 0;
        deadline = base::BootClock::now() + owner->limits.idleTimeout + idleMargin;
        parser.emplace();
        parser->header_limit(owner->limits.headerBytes);
        parser->body_limit(owner->limits.bodyBytes);
        parser->eager(true);
    }

    void waitForInput()
    {
        if (isWaitingForInput || !socket.is_open() || (phase == Phase::Handling && input.size() >= maxPipelinedBytes))
            return;
        isWaitingForInput = true;
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->isWaitingForInput = false;
            if (!ec)
                self->read();
        });
    }

    void read()
    {
        std::array<char, readBytes> buf;
        error_code ec;
        auto n = socket.read_some(asio::buffer(buf), ec);
        if (ec == asio::error::would_block)
            return waitForInput();
        if (ec)
            return close();
        contain([&] { receive({ buf.data(), n }); });
        waitForInput();
    }

    /** Calls \a handle; closes the connection if it throws an exception. */
    template <typename Handle> void contain(Handle&& handle)
    {
        auto self = shared_from_this();
        if (!owner->faults->contain("request", std::forward<Handle>(handle)))
            owner->faults->contain("request", [&] { close(); });
    }

    void receive(std::string_view bytes)
    {
        if (phase == Phase::Lingering || discardsInput)
            return;
        input.append(bytes);
        if (!resizeHold())
            return giveUpBuffers();
        if (phase == Phase::Idle || phase == Phase::Reading)
            parse();
    }

    void parse()
    {
        while (!input.empty() && (phase == Phase::Idle || phase == Phase::Reading)) {
            if (phase == Phase::Idle) {
                phase = Phase::Reading;
                heldUntilReceived.reset();
                deadline = base::BootClock::now() + owner->limits.headerTimeout;
            }
            error_code ec;
            auto n = parser->put(asio::buffer(input), ec);
            removeFront(input, n);
            requestBytes += n;
            if (ec && ec != http::error::need_more)
                return refuse(ec);
            if (statesMoreThan(*parser, owner->limits.bodyBytes))
                return refuse(http::error::body_limit);
            if (parser->is_done())
                return handle();
            if (parser->is_header_done())
                awaitBody();
            if (n == 0)
                return;
        }
    }

    // Each part of the body that arrives extends the deadline by the idle limit. Sends 100 Continue if it is expected.
    void awaitBody()
    {
        deadline = base::BootClock::now() + owner->limits.idleTimeout;
        if (hasSentContinue || !boost::beast::iequals(parser->get()[http::field::expect], "100-continue"))
            return;
        hasSentContinue = true;
        error_code ec;
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ec);
        if (ec)
            close();
    }

    void refuse(error_code problem)
    {
        keepsAlive = false;
        isHead = false;
        if (problem == http::error::body_limit)
            return write(plainAnswer(413, "the request body is larger than the limit"));
        if (problem == http::error::header_limit)
            return write(plainAnswer(431, "the request header is larger than the limit"));
        write(plainAnswer(400, "the request is not valid HTTP/1.1: " + problem.message()));
    }

    bool resizeHold()
    {
        // Answers that hold something until they are received are bounded by its number.
        auto outputBytes = heldUntilReceived.use_count() > 0 ? 0 : output.size();
        return hold->resize(input.size() + requestBytes + outputBytes);
    }

    /** Drops what the connection holds. Only a request that is complete is still answered. */
    void giveUpBuffers()
    {
        hold->release();
        if (phase == Phase::Writing)
            return close();
        if (phase == Phase::Lingering || (phase != Phase::Reading && input.empty()))
            return;
        input = {};
        keepsAlive = false;
        if (phase == Phase::Handling) {
            discardsInput = true;
            return;
        }
        parser.emplace();
        requestBytes = 0;
        isHead = false;
        auto answer = plainAnswer(503, memoryReason);
        answer.fields += memoryRetryAfter;
        write(answer);
    }

    void handle()
    {
        auto requestHold = std::make_shared<BufferHold>(owner->buffers);
        if (!requestHold->resize(requestBytes))
            return giveUpBuffers();
        requestBytes = 0;
        resizeHold();
        phase = Phase::Handling;
        request = std::make_shared<ClientRequest>();
        request->hold = std::move(requestHold);
        keepsAlive = parser->keep_alive();
        isHead = parser->get().method() == http::verb::head;
        request->message = parser->release();
        request->arrivedAt = base::BootClock::now();
        request->path = path;
        path.isNewConnection = false;
        request->answer = [weak = weak_from_this(), sent = request.get()](const Answer& answer) {
            auto self = weak.lock();
            if (self && self->request.get() == sent)
                self->answered(answer);
        };
        ++owner->requests;
        owner->handler(request);
    }

    void answered(const Answer& answer)
    {
        if (phase != Phase::Handling)
            return;
        endRequest();
        write(answer);
    }

    void endRequest()
    {
        if (!request)
            return;
        --owner->requests;
        request.reset();
    }

    void write(const Answer& answer)
    {
        phase = Phase::Writing;
        deadline = base::BootClock::now() + writeTimeout;
        closesAfterAnswer = owner->closesAfterAnswer || !keepsAlive;
        output = answerText(answer, isHead, closesAfterAnswer);
        heldUntilReceived = answer.heldUntilReceived;
        error_code ec;
        auto n = socket.write_some(asio::buffer(output), ec);
        if (ec && ec != asio::error::would_block)
            return close();
        if (!ec && n == output.size())
            return written();
        if (!resizeHold())
            return close();
        asio::async_write(socket, asio::buffer(output) + (ec ? 0 : n),
            [self = shared_from_this()](error_code result, size_t) { result ? self->close() : self->written(); });
    }

    void written()
    {
        output = {};
        resizeHold();
        if (closesAfterAnswer)
            return linger();
        nextRequest();
        // Posted, because the handler may have answered within parse(), which must not call itself.
        if (!input.empty())
            asio::post(owner->io, [self = shared_from_this()] {
                self->contain([&] { self->parse(); });
                self->waitForInput();
            });
        waitForInput();
    }

    // Closing a socket with unread input resets the connection, and the client can lose the answer.
    void linger()
    {
        phase = Phase::Lingering;
        deadline = base::BootClock::now() + lingerTimeout;
        input = {};
        resizeHold();
        error_code ec;
        socket.shutdown(tcp::socket::shutdown_send, ec);
        if (ec)
            return close();
        waitForInput();
    }

    void close()
    {
        if (!socket.is_open())
            return;
        auto self = shared_from_this();
        error_code ec;
        socket.close(ec);
        auto unanswered = request;
        endRequest();
        heldUntilReceived.reset();
        if (unanswered && unanswered->onClientLeft)
            unanswered->onClientLeft();
        owner->connections.erase(self);
    }

    void sweep(base::TimePoint now)
    {
        if (phase == Phase::Handling || now < deadline)
            return;
        if (phase == Phase::Reading) {
            keepsAlive = false;
            return write(plainAnswer(408, "the request was not received completely in time"));
        }
        close();
    }

    std::shared_ptr<Impl> owner;
    tcp::socket socket;
    std::optional<Parser> parser;
    std::shared_ptr<ClientRequest> request;
    dispatch::CallerPath path;
    std::string input;
    std::string output;
    std::optional<BufferHold> hold; // of input, of the request that is being read, and of output
    size_t requestBytes { 0 }; // bytes of the request that the parser has taken
    std::shared_ptr<void> heldUntilReceived; // of the last answer
    base::TimePoint deadline {};
    Phase phase { Phase::Idle };
    bool isWaitingForInput { false };
    bool hasSentContinue { false };
    bool keepsAlive { true };
    bool closesAfterAnswer { false };
    bool discardsInput { false }; // the connection ends with the present answer
    bool isHead { false };
};

void HttpListener::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](error_code ec, tcp::socket socket) {
        auto self = weak.lock();
        if (!self || self->isStopped || ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            auto connection = std::make_shared<Connection>(self, std::move(socket));
            self->connections.insert(connection);
            connection->start();
            return self->accept();
        }
        self->retryTimer.expires_after(acceptRetryDelay);
        self->retryTimer.async_wait([weak](error_code) {
            if (auto impl = weak.lock())
                impl->accept();
        });
    });
}

void HttpListener::Impl::sweep()
{
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([weak = weak_from_this()](error_code ec) {
        auto self = weak.lock();
        if (!self || ec)
            return;
        auto now = base::BootClock::now();
        auto connections = self->connections;
        for (const auto& connection : connections)
            connection->sweep(now);
        self->sweep();
    });
}

HttpListener::HttpListener(
    asio::io_context& io, Handler handler, std::shared_ptr<MessageFaults> faults, std::shared_ptr<BufferBudget> buffers)
    : m_impl(std::make_shared<Impl>(io, std::move(handler), std::move(faults), std::move(buffers)))
{
}

HttpListener::~HttpListener()
{
    m_impl->isStopped = true;
    // Breaks the reference cycle: the connections hold the state, which holds the connections.
    m_impl->connections.clear();
}

bool HttpListener::start(const std::string& address)
{
    auto endpoint = tcpEndpoint(address);
    if (!endpoint)
        return false;
    error_code ec;
    m_impl->acceptor.open(tcp::v4(), ec);
    m_impl->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    m_impl->acceptor.bind(*endpoint, ec);
    if (ec)
        return false;
    m_impl->acceptor.listen(listenBacklog, ec);
    if (ec)
        return false;
    m_impl->accept();
    m_impl->sweep();
    return true;
}

void HttpListener::setLimits(const routes::ClientLimits& limits) { m_impl->limits = limits; }

void HttpListener::announceClose() { m_impl->closesAfterAnswer = true; }

void HttpListener::stop()
{
    m_impl->isStopped = true;
    error_code ec;
    m_impl->acceptor.close(ec);
    m_impl->sweepTimer.cancel();
    auto connections = m_impl->connections;
    for (const auto& connection : connections) {
        if (connection->phase == Phase::Idle)
            connection->close();
    }
}

size_t HttpListener::openConnections() const { return m_impl->connections.size(); }

size_t HttpListener::openRequests() const { return m_impl->requests; }

size_t HttpListener::busyConnections() const
{
    auto isBusy = [](const auto& it) { return it->phase != Phase::Idle; };
    return static_cast<size_t>(std::ranges::count_if(m_impl->connections, isBusy));
}

void HttpListener::refuseIncompleteRequests(const std::string& reason)
{
    auto connections = m_impl->connections;
    for (const auto& connection : connections) {
        if (connection->phase != Phase::Reading)
            continue;
        connection->keepsAlive = false;
        connection->isHead = false;
        connection->write(plainAnswer(503, reason));
    }
}

}
