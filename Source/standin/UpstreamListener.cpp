#include "standin/UpstreamListener.h"

#include <algorithm>
#include <grpcpp/server_posix.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace papayabend::standin {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr std::chrono::milliseconds sweepInterval { 50 };

    bool isOpen(int descriptor)
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_ESTABLISHED;
    }

}

UpstreamListener::UpstreamListener(asio::io_context& io, grpc::Server& server, UpstreamService& service,
    const UpstreamShape& shape, const Behaviour& behaviour, uint64_t seed, SimulatedUpstream::Executed executed)
    : m_io(io)
    , m_server(server)
    , m_service(service)
    , m_shape(shape)
    , m_upstream(io, shape, behaviour, seed, std::move(executed))
    , m_acceptor(io)
    , m_restart(io)
    , m_sweep(io)
{
    m_upstream.crashed = [this] { crash(); };
}

std::string UpstreamListener::listen(const std::string& ip, uint16_t port)
{
    m_endpoint = tcp::endpoint(asio::ip::make_address(ip), port);
    open();
    m_endpoint = m_acceptor.local_endpoint();
    sweep();
    return ip + ":" + std::to_string(m_endpoint.port());
}

void UpstreamListener::open()
{
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    m_upstream.start();
    accept();
}

void UpstreamListener::accept()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec)
            accepted(std::move(socket));
        accept();
    });
}

void UpstreamListener::accepted(tcp::socket socket)
{
    // A connection over the limit is closed at once.
    if (m_connections.size() + m_opening >= m_shape.connectionLimit)
        return;
    ++m_opening;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    auto timer = std::make_shared<asio::steady_timer>(m_io, m_shape.connectTime);
    timer->async_wait([this, shared, timer](error_code) {
        --m_opening;
        if (m_acceptor.is_open())
            handOver(std::move(*shared));
    });
}

void UpstreamListener::handOver(tcp::socket socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    auto descriptor = socket.release(ignored);
    if (ignored)
        return;
    m_connections.push_back(dup(descriptor));
    m_service.setUpstream(descriptor, &m_upstream);
    grpc::AddInsecureChannelFromFd(&m_server, descriptor);
}

void UpstreamListener::cutConnections()
{
    for (auto descriptor : m_connections) {
        shutdown(descriptor, SHUT_RDWR);
        ::close(descriptor);
    }
    m_connections.clear();
}

void UpstreamListener::crash()
{
    if (m_isRestarting)
        return;
    close();
    m_isRestarting = true;
    m_restart.expires_after(m_upstream.behaviour.restart);
    m_restart.async_wait([this](error_code ec) {
        m_isRestarting = false;
        if (!ec)
            behaviourChanged();
    });
}

void UpstreamListener::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    cutConnections();
    m_upstream.crash();
}

void UpstreamListener::behaviourChanged()
{
    auto isDown = m_upstream.behaviour.isDown;
    if (isDown && m_acceptor.is_open())
        close();
    else if (!isDown && !m_isRestarting && !m_acceptor.is_open())
        open();
}

void UpstreamListener::sweep()
{
    std::erase_if(m_connections, [](int descriptor) {
        if (isOpen(descriptor))
            return false;
        ::close(descriptor);
        return true;
    });
    m_sweep.expires_after(sweepInterval);
    m_sweep.async_wait([this](error_code ec) {
        if (!ec)
            sweep();
    });
}

}
