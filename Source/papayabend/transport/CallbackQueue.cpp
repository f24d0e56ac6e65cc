#include "papayabend/transport/CallbackQueue.h"

#include "upstream.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace papayabend::transport {

namespace {

    /** A channel that has made one callback call keeps the queue alive. */
    struct QueueUser {
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<protocol::Upstream::Stub> stub;
        grpc::ClientContext context;
        protocol::ProbeCall call;
        protocol::ProbeReply reply;
    };

    // A channel needs an address, but nothing connects to this one: the deadline of the only call has passed when it
    // is made, so the call ends without a connection.
    constexpr auto unusedAddress = "ipv4:127.0.0.1:1";

    QueueUser* makeQueueUser()
    {
        auto* user = new QueueUser;
        user->channel = grpc::CreateChannel(unusedAddress, grpc::InsecureChannelCredentials());
        user->stub = protocol::Upstream::NewStub(user->channel);
        user->context.set_deadline(std::chrono::system_clock::now());
        user->stub->async()->Probe(&user->context, &user->call, &user->reply, [](const grpc::Status&) {});
        return user;
    }

}

void keepCallbackQueue()
{
    // Never deleted, so that the queue outlives every other user.
    static const QueueUser* const user = makeQueueUser();
    static_cast<void>(user);
}

}
