#pragma once

#include "papayabend/engine/PeerMessage.h"
#include "papayabend/execution/Execution.h"

#include <functional>
#include <memory>
#include <string>

namespace papayabend::transport {

/** \class PeerServer
 * \brief Receives control messages from other hosts over gRPC.
 *
 * The service class in PeerServer.cpp has one member for each rpc of peer.proto, and Handlers one function.
 */
class PeerServer {
public:
    /** Functions that are called concurrently on gRPC threads. */
    struct Handlers {
        std::function<void(const engine::PeerMessage&)> exchange;
        /** The second argument is called with the reply, on any thread. */
        std::function<void(execution::ExecutionRequest, std::function<void(execution::ForwardReply)>)> forward;
    };

    explicit PeerServer(Handlers);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    /** Listens on \a address, IP address and port; returns false if it cannot be bound. */
    bool start(const std::string& address);

    /** Returns the port that start() bound, which the system chose if the address named port 0. */
    int port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
