#include "papayabend/gateway/HttpListener.h"

#include "papayabend/gateway/Address.h"
#include "papayabend/gateway/HttpListenerImpl.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr std::chrono::milliseconds sweepInterval { 500 };
    // Pause after a failed accept, for example because the process has no free file descriptor.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    constexpr int listenBacklog = 1024;

}

void HttpListener::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](error_code ec, tcp::socket socket) {
        auto self = weak.lock();
        if (!self || self->isStopped || ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            // An exception must not keep the listener from accepting further connections.
            self->faults->contain("request", [&] { self->accepted(std::move(socket)); });
            return self->accept();
        }
        self->retryTimer.expires_after(acceptRetryDelay);
        self->retryTimer.async_wait([weak](error_code) {
            if (auto impl = weak.lock())
                impl->accept();
        });
    });
}

void HttpListener::Impl::accepted(tcp::socket socket)
{
    if (!guard->connections->makeRoom(number)) {
        error_code ec;
        auto client = socket.remote_endpoint(ec);
        guard->refusals.record(RefusalReason::NoRoom, ec ? std::string() : client.address().to_string());
        socket.non_blocking(true, ec);
        socket.write_some(asio::buffer(answerText(roomAnswer(), false, true)), ec);
        return;
    }
    auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    connections.insert(connection);
    connection->start();
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

HttpListener::HttpListener(asio::io_context& io, Handler handler, std::shared_ptr<MessageFaults> faults,
    std::shared_ptr<BufferBudget> buffers, std::shared_ptr<ClientGuard> guard)
    : m_impl(std::make_shared<Impl>(io, std::move(handler), std::move(faults), std::move(buffers), std::move(guard)))
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
        if (connection->phase == Impl::Connection::Phase::Idle)
            connection->close();
    }
}

size_t HttpListener::openConnections() const { return m_impl->connections.size(); }

size_t HttpListener::openRequests() const { return m_impl->requests; }

size_t HttpListener::busyConnections() const
{
    auto isBusy = [](const auto& it) { return it->phase != Impl::Connection::Phase::Idle; };
    return static_cast<size_t>(std::ranges::count_if(m_impl->connections, isBusy));
}

void HttpListener::refuseIncompleteRequests(const std::string& reason)
{
    auto connections = m_impl->connections;
    for (const auto& connection : connections) {
        if (connection->phase != Impl::Connection::Phase::Reading)
            continue;
        connection->reader.drop();
        connection->keepsAlive = false;
        connection->isHead = false;
        connection->write(plainAnswer(503, reason));
    }
}

}
