#pragma once

#include "standin/SimulatedUpstream.h"
#include "upstream.grpc.pb.h"

#include <boost/asio.hpp>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <string>
#include <unordered_map>

namespace papayabend::standin {

/** \class UpstreamService
 * \brief gRPC service that passes calls to the simulation of the upstream that the connection belongs to.
 */
class UpstreamService final : public protocol::Upstream::CallbackService {
public:
    explicit UpstreamService(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    /** Tells to which upstream the connection with the given descriptor belongs. */
    void setUpstream(int descriptor, SimulatedUpstream*);

    grpc::ServerUnaryReactor* Search(
        grpc::CallbackServerContext*, const protocol::SearchCall*, protocol::SearchReply*) override;
    grpc::ServerUnaryReactor* Execute(
        grpc::CallbackServerContext*, const protocol::ExecuteCall*, protocol::ExecuteReply*) override;
    grpc::ServerUnaryReactor* Probe(
        grpc::CallbackServerContext*, const protocol::ProbeCall*, protocol::ProbeReply*) override;

private:
    SimulatedUpstream* upstreamOf(const grpc::CallbackServerContext&);

    boost::asio::io_context& m_io;
    std::mutex m_mutex;
    std::unordered_map<std::string, SimulatedUpstream*> m_upstreams; // By peer name.
};

}
