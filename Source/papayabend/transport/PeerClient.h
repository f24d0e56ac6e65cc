#pragma once

#include "papayabend/engine/PeerMessage.h"
#include "papayabend/execution/Execution.h"

#include <functional>
#include <memory>
#include <string>

namespace papayabend::transport {

/** \class PeerClient
 * \brief Sends control messages to other hosts over gRPC, with gRPC's own retries disabled. Thread-safe.
 */
class PeerClient {
public:
    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    /** Sends \a message without waiting. A message that cannot be delivered within a second is dropped. */
    void send(const std::string& peerAddress, const engine::PeerMessage& message);

    /** Forwards a request to another host once; \a done is called once, on a gRPC thread. */
    void forward(const std::string& peerAddress, const execution::ExecutionRequest&,
        std::function<void(execution::ForwardReply)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
