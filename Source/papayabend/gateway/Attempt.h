#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/dispatch/UpstreamEstimate.h"
#include "papayabend/gateway/HttpCall.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::gateway {

/** \struct Attempt
 * \brief One try to have an upstream run a request; it waits for a connection or has been sent on one.
 */
struct Attempt {
    std::string upstream; /**< Id of the upstream. */
    std::string requestId;
    bool isHead { false };
    bool isHedge { false }; /**< Another attempt was in flight when it was started. */
    /** The request cannot be retried, so it is not sent on a connection that the peer may be about to close. */
    bool needsFreshConnection { false };
    /** Numbers of the connections on which earlier attempts of the request were sent; it is not sent on these. */
    std::vector<uint64_t> usedConnections;
    /** What the estimate of the upstream said when it was chosen; set if upstreams are chosen by estimates. */
    std::optional<dispatch::Expectation> expected;
    base::TimePoint createdAt {};
    base::TimePoint sentAt {}; /**< Default value until the request is handed to a connection. */
    bool isEnded { false };
    /** Returns the bytes of the request; called when they are sent, because they contain the time that is left. */
    std::function<std::string(const std::string& upstream)> buildRequest;
    /** Called when a connection is free; returns why the attempt may no longer be sent, which ends it
     * as withheld (see CallResult), or nothing. Takes what the send uses up. */
    std::function<std::string()> reasonNotToSend;
    std::function<void(Attempt&)> onSent; /**< Called just before the bytes are handed to the connection. */
    std::function<void(Attempt&, CallResult)> onEnd; /**< Called once. */
    std::weak_ptr<HttpConnection> connection; /**< The connection that it was sent on. */

    bool isSent() const { return sentAt != base::TimePoint {}; }
};

}
