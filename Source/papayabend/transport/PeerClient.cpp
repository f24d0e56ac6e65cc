#include "papayabend/transport/PeerClient.h"

#include "papayabend/transport/ForwardCodec.h"
#include "papayabend/transport/PeerCodec.h"

#include "peer.grpc.pb.h"

#include <algorithm>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <unordered_map>

namespace papayabend::transport {

namespace {

    constexpr std::chrono::seconds sendTimeout { 1 };

    // Peers change at random in large fleets; channels beyond this number are closed, least recently used first.
    constexpr size_t maxChannels = 128;

    struct Call {
        grpc::ClientContext context;
        protocol::PeerEnvelope envelope;
        protocol::PeerReceipt receipt;
    };

    // The target host replies at the caller's deadline at the latest; this allows for the network delay of the reply.
    constexpr std::chrono::milliseconds replyGrace { 200 };

    struct ForwardedCall {
        grpc::ClientContext context;
        protocol::ForwardCall call;
        protocol::ForwardReply reply;
    };

    std::shared_ptr<protocol::Peer::Stub> connect(const std::string& address)
    {
        grpc::ChannelArguments arguments;
        // A transparent retry by gRPC could deliver a message twice.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        // A restarted peer must be reachable again while it is still requesting its values.
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        return protocol::Peer::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }

}

struct PeerClient::Impl {
    struct Channel {
        std::shared_ptr<protocol::Peer::Stub> stub;
        uint64_t lastUse { 0 };
    };

    std::mutex mutex;
    std::unordered_map<std::string, Channel> channels;
    uint64_t uses { 0 };

    std::shared_ptr<protocol::Peer::Stub> stub(const std::string& address)
    {
        std::scoped_lock lock(mutex);
        if (!channels.contains(address) && channels.size() >= maxChannels)
            channels.erase(std::ranges::min_element(channels, {}, [](const auto& it) { return it.second.lastUse; }));
        auto& channel = channels[address];
        if (!channel.stub)
            channel.stub = connect(address);
        channel.lastUse = ++uses;
        return channel.stub;
    }
};

PeerClient::PeerClient()
    : m_impl(std::make_shared<Impl>())
{
}

PeerClient::~PeerClient() = default;

void PeerClient::send(const std::string& peerAddress, const engine::PeerMessage& message)
{
    auto call = std::make_shared<Call>();
    call->envelope = toEnvelope(message);
    call->context.set_deadline(std::chrono::system_clock::now() + sendTimeout);
    auto stub = m_impl->stub(peerAddress);
    stub->async()->Exchange(&call->context, &call->envelope, &call->receipt, [call, stub](const grpc::Status&) {});
}

void PeerClient::forward(const std::string& peerAddress, const execution::ExecutionRequest& request,
    std::function<void(execution::ForwardReply)> done)
{
    auto call = std::make_shared<ForwardedCall>();
    auto now = base::BootClock::now();
    call->call = toForwardCall(request, now);
    auto timeLeft = std::max(request.deadline - now, base::Duration::zero());
    call->context.set_deadline(std::chrono::system_clock::now() + timeLeft + replyGrace);
    auto stub = m_impl->stub(peerAddress);
    stub->async()->Forward(&call->context, &call->call, &call->reply,
        [call, stub, ticket = request.ticket, done = std::move(done)](const grpc::Status& status) {
            if (status.ok())
                done(fromForwardReply(call->reply, ticket));
            else
                done(unreachableHost("the host that issued the ticket did not reply: " + status.error_message()));
        });
}

}
