#pragma once

#include "standin/SimulatedUpstream.h"
#include "standin/UpstreamService.h"

#include <boost/asio.hpp>
#include <grpcpp/grpcpp.h>
#include <list>
#include <string>

namespace papayabend::standin {

/** \class UpstreamListener
 * \brief Listening socket of one upstream. All members belong to the thread of the io_context.
 */
class UpstreamListener {
public:
    UpstreamListener(boost::asio::io_context&, grpc::Server&, UpstreamService&, const UpstreamShape&, const Behaviour&,
        uint64_t seed, SimulatedUpstream::Executed);

    /** Listens and returns the address; throws if it cannot be bound. */
    std::string listen(const std::string& ip, uint16_t port);
    /** Cuts all connections, fails all calls and refuses connections for the restart time. */
    void crash();
    /** Starts or stops listening as the behaviour demands. */
    void behaviourChanged();
    void close();

    SimulatedUpstream& upstream() { return m_upstream; }
    const std::string& name() const { return m_shape.name; }
    size_t openConnections() const { return m_connections.size(); }

private:
    void open();
    void accept();
    void accepted(boost::asio::ip::tcp::socket);
    void handOver(boost::asio::ip::tcp::socket);
    void cutConnections();
    void sweep();

    boost::asio::io_context& m_io;
    grpc::Server& m_server;
    UpstreamService& m_service;
    UpstreamShape m_shape;
    SimulatedUpstream m_upstream;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_restart;
    boost::asio::steady_timer m_sweep;
    std::list<int> m_connections; // Duplicates of the descriptors that gRPC owns, to watch and cut connections.
    size_t m_opening { 0 };
    bool m_isRestarting { false };
};

}
