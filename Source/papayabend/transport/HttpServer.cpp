#include "papayabend/transport/HttpServer.h"

#include "papayabend/transport/HttpFraming.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_set>

namespace papayabend::transport {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t maxHeaderBytes = 16 * 1024;
    constexpr auto jsonType = "application/json";
    // Pause after a failed accept, for example when the process has no file descriptor left.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    // Time for which a stopping server still serves open connections.
    constexpr std::chrono::milliseconds lingerTime { 300 };

    /** State of a connection. */
    enum class Phase {
        Idle,
        Reading,
        Handling,
        Writing,
        Closed,
    };

    thread_local base::TimePoint receivedAt;

    /** In-memory stream from which the routes of cpp-httplib read a request and to which they write the response. */
    class MemoryStream final : public httplib::Stream {
    public:
        explicit MemoryStream(std::string_view request)
            : m_request(request)
        {
        }
        bool is_readable() const override { return true; } // NOLINT(readability-identifier-naming)
        bool is_writable() const override { return true; } // NOLINT(readability-identifier-naming)
        ssize_t read(char* buf, size_t size) override
        {
            auto n = m_request.copy(buf, size);
            m_request.remove_prefix(n);
            return static_cast<ssize_t>(n);
        }
        ssize_t write(const char* buf, size_t size) override
        {
            m_response.append(buf, size);
            return static_cast<ssize_t>(size);
        }
        // NOLINTNEXTLINE(readability-identifier-naming)
        void get_remote_ip_and_port(std::string& ip, int& port) const override { ip.clear(), port = 0; }
        // NOLINTNEXTLINE(readability-identifier-naming)
        void get_local_ip_and_port(std::string& ip, int& port) const override { ip.clear(), port = 0; }
        socket_t socket() const override { return INVALID_SOCKET; }
        std::string& response() { return m_response; }

    private:
        std::string_view m_request;
        std::string m_response;
    };

    class Routes final : public httplib::Server {
    public:
        struct Result {
            std::string response;
            bool closed { false };
        };

        Result handle(std::string_view request, bool close)
        {
            // "100 Continue" has been sent already. Bodies are JSON whatever type a client states, and cpp-httplib has
            // its own limits for some types.
            constexpr std::array<std::string_view, 2> ignored { "expect", "content-type" };
            auto text = withoutFields(request, ignored);
            MemoryStream stream(text);
            bool closed = close;
            auto ok = process_request(stream, close, closed, nullptr);
            return { std::move(stream.response()), closed || !ok };
        }
    };

    const char* phraseOf(int status)
    {
        switch (status) {
        case 400:
            return "Bad Request";
        case 408:
            return "Request Timeout";
        case 411:
            return "Length Required";
        case 413:
            return "Payload Too Large";
        case 431:
            return "Request Header Fields Too Large";
        default:
            return "Service Unavailable";
        }
    }

    std::string responseOf(int status, const base::Refusal& refusal)
    {
        auto body = refusalBody(refusal);
        std::string response = "HTTP/1.1 " + std::to_string(status) + " " + phraseOf(status)
            + "\r\nContent-Type: application/json\r\nConnection: close\r\n";
        if (refusal.retryAfter)
            response += "Retry-After: 1\r\n";
        return response + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    base::Refusal refusalOf(base::RefusalCode code, std::string detail)
    {
        return { code, base::Verdict::NotRun, std::move(detail), std::nullopt };
    }

}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(Impl& owner, tcp::socket accepted)
            : impl(owner)
            , socket(std::move(accepted))
            , timer(impl.io)
        {
        }

        void wait();
        void readable();
        void handleBuffered();
        void sendContinue();
        void run(std::string request, bool close);
        void refuse(int status, const base::Refusal&);
        void write(std::string response, bool close);
        void setTimer(base::Duration);
        void close();

        Impl& impl;
        tcp::socket socket;
        asio::steady_timer timer;
        std::string buffer;
        std::string response;
        Phase phase { Phase::Idle };
        bool hasContinued { false }; // "100 Continue" was sent for the current request
    };

    Impl(const settings::HttpServerSettings& entry, Refused handler)
        : settings(entry)
        , refused(std::move(handler))
        , acceptor(io)
        , acceptTimer(io)
        , workers(entry.threads)
    {
    }

    void accept();
    void accepted(tcp::socket socket);

    settings::HttpServerSettings settings;
    Refused refused;
    Routes routes;
    asio::io_context io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::thread_pool workers;
    // Only the thread that runs io accesses the members below, except the atomics.
    std::unordered_set<std::shared_ptr<Connection>> connections;
    std::array<char, 16 * 1024> readBuffer {};
    size_t bufferedBytes { 0 };
    bool isStopping { false };
    std::atomic<size_t> connectionCount { 0 };
    std::atomic<size_t> waiting { 0 };
    std::thread thread;
};

void HttpServer::Impl::accept()
{
    acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (!acceptor.is_open())
            return;
        if (!ec) {
            accepted(std::move(socket));
            accept();
            return;
        }
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([this](error_code) { accept(); });
    });
}

void HttpServer::Impl::accepted(tcp::socket socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    if (connections.size() >= settings.connections) {
        refused(base::RefusalCode::Overloaded);
        auto refusal = refusalOf(base::RefusalCode::Overloaded, "the host has too many connections");
        refusal.retryAfter = std::chrono::seconds(1);
        asio::write(socket, asio::buffer(responseOf(503, refusal)), ignored);
        return;
    }
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections.insert(connection);
    connectionCount = connections.size();
    connection->setTimer(settings.idleTimeout);
    connection->wait();
}

void HttpServer::Impl::Connection::close()
{
    if (phase == Phase::Closed)
        return;
    phase = Phase::Closed;
    timer.cancel();
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
    impl.bufferedBytes -= buffer.size();
    impl.connections.erase(shared_from_this());
    impl.connectionCount = impl.connections.size();
}

void HttpServer::Impl::Connection::setTimer(base::Duration time)
{
    timer.expires_after(time);
    timer.async_wait([self = shared_from_this()](error_code ec) {
        if (ec || self->phase == Phase::Handling || self->timer.expiry() > asio::steady_timer::clock_type::now())
            return;
        if (self->phase == Phase::Reading)
            self->refuse(408, refusalOf(base::RefusalCode::BadRequest, "the request did not arrive in time"));
        else
            self->close();
    });
}

void HttpServer::Impl::Connection::wait()
{
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        if (ec)
            self->close();
        else if (self->phase == Phase::Idle || self->phase == Phase::Reading)
            self->readable();
    });
}

void HttpServer::Impl::Connection::readable()
{
    error_code ec;
    auto n = socket.read_some(asio::buffer(impl.readBuffer), ec);
    if (ec == asio::error::would_block) {
        wait();
        return;
    }
    if (ec) {
        close();
        return;
    }
    if (impl.bufferedBytes + n > impl.settings.bufferBytes) {
        impl.refused(base::RefusalCode::Overloaded);
        auto refusal = refusalOf(base::RefusalCode::Overloaded, "the host holds too many incomplete requests");
        refusal.retryAfter = std::chrono::seconds(1);
        refuse(503, refusal);
        return;
    }
    buffer.append(impl.readBuffer.data(), n);
    impl.bufferedBytes += n;
    handleBuffered();
}

void HttpServer::Impl::Connection::handleBuffered()
{
    using State = HttpFrame::State;
    auto frame = frameOf(buffer, maxHeaderBytes, impl.settings.bodyBytes);
    auto reject = [&](int status, base::RefusalCode code, const char* detail) {
        impl.refused(code);
        refuse(status, refusalOf(code, detail));
    };
    switch (frame.state) {
    case State::Incomplete:
        if (!buffer.empty() && phase == Phase::Idle) {
            phase = Phase::Reading;
            setTimer(impl.settings.readTimeout);
        }
        if (frame.expectsContinue)
            sendContinue();
        wait();
        return;
    case State::HeaderTooLarge:
        reject(431, base::RefusalCode::BadRequest, "the request header is larger than 16 KB");
        return;
    case State::BodyTooLarge:
        reject(413, base::RefusalCode::BodyTooLarge, "the body is larger than the host accepts");
        return;
    case State::LengthRequired:
        reject(411, base::RefusalCode::BadRequest, "a request body needs Content-Length");
        return;
    case State::Malformed:
        reject(400, base::RefusalCode::BadRequest, "the request header is not valid HTTP");
        return;
    case State::Complete:
        break;
    }
    auto request = buffer.substr(0, frame.length);
    buffer.erase(0, frame.length);
    buffer.shrink_to_fit();
    impl.bufferedBytes -= frame.length;
    run(std::move(request), frame.closeRequested || impl.isStopping);
}

void HttpServer::Impl::Connection::sendContinue()
{
    if (hasContinued)
        return;
    hasContinued = true;
    // Fits into the socket's send buffer, since the previous response was written. If it fails, the client sends the
    // body later.
    error_code ignored;
    asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
}

void HttpServer::Impl::Connection::run(std::string request, bool close)
{
    if (impl.waiting.load() >= impl.settings.queuedRequests) {
        impl.refused(base::RefusalCode::Overloaded);
        auto refusal = refusalOf(base::RefusalCode::Overloaded, "too many requests wait for a thread");
        refusal.retryAfter = std::chrono::seconds(1);
        refuse(503, refusal);
        return;
    }
    phase = Phase::Handling;
    hasContinued = false;
    ++impl.waiting;
    timer.cancel();
    auto task = [self = shared_from_this(), request = std::move(request), close, at = base::BootClock::now()] {
        --self->impl.waiting;
        receivedAt = at;
        auto result = self->impl.routes.handle(request, close);
        asio::post(self->impl.io,
            [self, result = std::move(result)]() mutable { self->write(std::move(result.response), result.closed); });
    };
    asio::post(impl.workers, std::move(task));
}

void HttpServer::Impl::Connection::refuse(int status, const base::Refusal& refusal)
{
    write(responseOf(status, refusal), true);
}

void HttpServer::Impl::Connection::write(std::string text, bool close)
{
    if (phase == Phase::Closed)
        return;
    phase = Phase::Writing;
    response = std::move(text);
    setTimer(impl.settings.writeTimeout);
    asio::async_write(socket, asio::buffer(response), [self = shared_from_this(), close](error_code ec, size_t) {
        self->response = {};
        if (ec || close || self->impl.isStopping) {
            self->close();
            return;
        }
        self->phase = Phase::Idle;
        self->setTimer(self->impl.settings.idleTimeout);
        self->handleBuffered();
    });
}

HttpServer::HttpServer(const settings::HttpServerSettings& settings, Refused refused)
    : m_impl(std::make_shared<Impl>(settings, std::move(refused)))
{
    auto& routes = m_impl->routes;
    routes.set_payload_max_length(settings.bodyBytes);
    // Only reported in the Keep-Alive header; this class ends idle connections itself.
    routes.set_keep_alive_timeout(std::chrono::floor<std::chrono::seconds>(settings.idleTimeout).count());
    routes.set_keep_alive_max_count(100'000);
    routes.set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty())
            return;
        auto detail = response.status == 404 ? "no such path or method" : "the request is not valid";
        response.set_content(refusalBody(refusalOf(base::RefusalCode::BadRequest, detail)), jsonType);
    });
    routes.set_exception_handler([](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
        writeRefusal({ base::RefusalCode::Internal, base::Verdict::MayHaveRun, "internal error", {} }, response);
    });
}

HttpServer::~HttpServer() { stop(); }

httplib::Server& HttpServer::routes() { return m_impl->routes; }

bool HttpServer::start(const std::string& address)
{
    auto colon = address.rfind(':');
    auto ip = address.substr(0, colon);
    if (ip.starts_with('['))
        ip = ip.substr(1, ip.size() - 2);
    error_code ec;
    tcp::endpoint endpoint(asio::ip::make_address(ip, ec), static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    auto& acceptor = m_impl->acceptor;
    if (ec || acceptor.open(endpoint.protocol(), ec) || acceptor.set_option(tcp::acceptor::reuse_address(true), ec)
        || acceptor.bind(endpoint, ec) || acceptor.listen(asio::socket_base::max_listen_connections, ec))
        return false;
    m_impl->accept();
    m_impl->thread = std::thread([impl = m_impl] { impl->io.run(); });
    return true;
}

void HttpServer::stopAccepting()
{
    asio::post(m_impl->io, [impl = m_impl] {
        error_code ignored;
        impl->isStopping = true;
        // Closing the socket would reset connections that are not accepted yet.
        impl->acceptor.non_blocking(true, ignored);
        for (error_code ec; !ec;) {
            auto socket = impl->acceptor.accept(ec);
            if (!ec)
                impl->accepted(std::move(socket));
        }
        impl->acceptor.close(ignored);
        for (const auto& it : impl->connections) {
            if (it->phase == Phase::Idle || it->phase == Phase::Reading)
                it->setTimer(lingerTime);
        }
    });
}

void HttpServer::stop()
{
    if (!m_impl->thread.joinable())
        return;
    stopAccepting();
    auto stopped = std::make_shared<std::promise<void>>();
    asio::post(m_impl->io, [stopped] { stopped->set_value(); });
    stopped->get_future().wait();
    // A request may be in transit on an idle connection, and responses may still be being written.
    auto waitForConnections = [this](base::Duration limit) {
        auto end = base::BootClock::now() + limit;
        while (m_impl->connectionCount > 0 && base::BootClock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    };
    waitForConnections(lingerTime + m_impl->settings.writeTimeout);
    m_impl->workers.join();
    waitForConnections(m_impl->settings.writeTimeout);
    m_impl->io.stop();
    m_impl->thread.join();
    m_impl->connections.clear();
}

size_t HttpServer::openConnections() const { return m_impl->connectionCount.load(); }

size_t HttpServer::waitingRequests() const { return m_impl->waiting.load(); }

base::TimePoint HttpServer::requestReceived() { return receivedAt; }

std::string refusalBody(const base::Refusal& refusal)
{
    nlohmann::ordered_json body { { "reason", base::toString(refusal.code) },
        { "verdict", base::toString(refusal.verdict) }, { "detail", refusal.detail } };
    // The detail may quote bytes of the request that are not valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void writeRefusal(const base::Refusal& refusal, httplib::Response& response)
{
    if (refusal.retryAfter) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.set_header("Retry-After", std::to_string(std::max<int64_t>(1, seconds.count())));
    }
    response.status = base::httpStatus(refusal.code);
    response.set_content(refusalBody(refusal), jsonType);
}

}
