#include "papayabend/transport/PeerServer.h"

#include "papayabend/transport/ForwardCodec.h"
#include "papayabend/transport/PeerCodec.h"

#include "peer.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>

namespace papayabend::transport {

namespace {

    constexpr std::chrono::milliseconds shutdownTimeout { 500 };

    class PeerService final : public protocol::Peer::CallbackService {
    public:
        explicit PeerService(PeerServer::Handlers& handlers)
            : m_handlers(handlers)
        {
        }

        grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const protocol::PeerEnvelope* envelope,
            protocol::PeerReceipt*) override
        {
            m_handlers.exchange(fromEnvelope(*envelope));
            auto* reactor = context->DefaultReactor();
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }

        grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context, const protocol::ForwardCall* call,
            protocol::ForwardReply* reply) override
        {
            auto* reactor = context->DefaultReactor();
            m_handlers.forward(fromForwardCall(*call, base::BootClock::now()),
                [reactor, reply](const execution::ForwardReply& outcome) {
                    *reply = toForwardReply(outcome);
                    reactor->Finish(grpc::Status::OK);
                });
            return reactor;
        }

    private:
        PeerServer::Handlers& m_handlers;
    };

}

struct PeerServer::Impl {
    explicit Impl(Handlers handlers)
        : handlers(std::move(handlers))
    {
    }

    Handlers handlers;
    PeerService service { handlers };
    std::unique_ptr<grpc::Server> server;
    int port { 0 };
};

PeerServer::PeerServer(Handlers handlers)
    : m_impl(std::make_unique<Impl>(std::move(handlers)))
{
}

PeerServer::~PeerServer()
{
    if (m_impl->server)
        m_impl->server->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
}

bool PeerServer::start(const std::string& address)
{
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_impl->port);
    builder.RegisterService(&m_impl->service);
    m_impl->server = builder.BuildAndStart();
    return m_impl->server != nullptr;
}

int PeerServer::port() const { return m_impl->port; }

}
