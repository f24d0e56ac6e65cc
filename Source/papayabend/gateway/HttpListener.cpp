#include "papayabend/gateway/HttpListener.h"

#include "papayabend/gateway/Address.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <unordered_set>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t readBytes = 16 * 1024;
    // Input that a client may send ahead of the answer to its present request.
    constexpr size_t maxAheadBytes = 64 * 1024;
    constexpr std::chrono::milliseconds sweepInterval { 500 };
    // Pause after a failed accept, for example when the process has no file descriptor left.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    // For a client to take its answer, and for the end of a connection after its last answer.
    constexpr base::Duration writeTimeout { std::chrono::seconds(10) };
    constexpr base::Duration lingerTimeout { std::chrono::seconds(1) };
    // Clients use a connection up to the idle limit; closing later avoids crossing their next request.
    constexpr base::Duration idleSlack { std::chrono::seconds(1) };
    constexpr int listenBacklog = 1024;

    enum class Phase {
        Idle, // between two requests
        Reading, // a request has begun
        Handling,
        Writing,
        Lingering, // the last answer is written; input is discarded
    };

}

/** \struct HttpListener::Impl
 * \brief State shared with the connections.
 */
struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl> {
    struct Connection;

    Impl(asio::io_context& context, Handler receiver)
        : io(context)
        , acceptor(context)
        , sweepTimer(context)
        , retryTimer(context)
        , handler(std::move(receiver))
    {
    }
    void accept();
    void sweep();

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    asio::steady_timer retryTimer;
    Handler handler;
    routes::ClientLimits limits;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    size_t requests { 0 };
    bool closes { false };
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

    using Parser = http::request_parser<http::string_body>;

    void start()
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        socket.non_blocking(true, ec);
        nextRequest();
        waitForInput();
    }

    void nextRequest()
    {
        phase = Phase::Idle;
        hasContinued = false;
        deadline = base::BootClock::now() + owner->limits.idleTimeout + idleSlack;
        parser.emplace();
        parser->header_limit(owner->limits.headerBytes);
        parser->body_limit(owner->limits.bodyBytes);
        parser->eager(true);
    }

    void waitForInput()
    {
        if (isWaiting || !socket.is_open() || (phase == Phase::Handling && input.size() >= maxAheadBytes))
            return;
        isWaiting = true;
        socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->isWaiting = false;
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
        if (phase != Phase::Lingering)
            input.append(buf.data(), n);
        if (phase == Phase::Idle || phase == Phase::Reading)
            parse();
        waitForInput();
    }

    void parse()
    {
        while (!input.empty() && (phase == Phase::Idle || phase == Phase::Reading)) {
            if (phase == Phase::Idle) {
                phase = Phase::Reading;
                deadline = base::BootClock::now() + owner->limits.headerTimeout;
            }
            error_code ec;
            auto n = parser->put(asio::buffer(input), ec);
            input.erase(0, n);
            if (ec && ec != http::error::need_more)
                return refuse(ec);
            if (parser->is_done())
                return handle();
            if (parser->is_header_done())
                continueBody();
            if (n == 0)
                return;
        }
    }

    // The body may take as long as an idle connection may last.
    void continueBody()
    {
        deadline = base::BootClock::now() + owner->limits.idleTimeout;
        if (hasContinued || !boost::beast::iequals(parser->get()[http::field::expect], "100-continue"))
            return;
        hasContinued = true;
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
            return write(plainAnswer(413, "the body is larger than the limit"));
        if (problem == http::error::header_limit)
            return write(plainAnswer(431, "the header is larger than the limit"));
        write(plainAnswer(400, "the request is not valid HTTP/1.1: " + problem.message()));
    }

    void handle()
    {
        phase = Phase::Handling;
        request = std::make_shared<ClientRequest>();
        keepsAlive = parser->keep_alive();
        isHead = parser->get().method() == http::verb::head;
        request->message = parser->release();
        request->arrivedAt = base::BootClock::now();
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
        closes = owner->closes || !keepsAlive;
        output = answerText(answer, isHead, closes);
        error_code ec;
        auto n = socket.write_some(asio::buffer(output), ec);
        if (ec && ec != asio::error::would_block)
            return close();
        if (!ec && n == output.size())
            return written();
        asio::async_write(socket, asio::buffer(output) + (ec ? 0 : n),
            [self = shared_from_this()](error_code result, size_t) { result ? self->close() : self->written(); });
    }

    void written()
    {
        output.clear();
        if (closes)
            return linger();
        nextRequest();
        // The handler may have answered inside of parse(); the next request starts from the loop.
        if (!input.empty())
            asio::post(owner->io, [self = shared_from_this()] {
                self->parse();
                self->waitForInput();
            });
        waitForInput();
    }

    // Closing a socket with unread input resets it, which can discard the answer at the client.
    void linger()
    {
        phase = Phase::Lingering;
        deadline = base::BootClock::now() + lingerTimeout;
        input.clear();
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
        auto left = request;
        endRequest();
        if (left && left->onClientLeft)
            left->onClientLeft();
        owner->connections.erase(self);
    }

    void sweep(base::TimePoint now)
    {
        if (phase == Phase::Handling || now < deadline)
            return;
        if (phase == Phase::Reading) {
            keepsAlive = false;
            return write(plainAnswer(408, "the request was not complete in time"));
        }
        close();
    }

    std::shared_ptr<Impl> owner;
    tcp::socket socket;
    std::optional<Parser> parser;
    std::shared_ptr<ClientRequest> request;
    std::string input;
    std::string output;
    base::TimePoint deadline {};
    Phase phase { Phase::Idle };
    bool isWaiting { false };
    bool hasContinued { false };
    bool keepsAlive { true };
    bool closes { false };
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

HttpListener::HttpListener(asio::io_context& io, Handler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    m_impl->isStopped = true;
    // Connections hold the state that holds them.
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

void HttpListener::announceClose() { m_impl->closes = true; }

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

}
