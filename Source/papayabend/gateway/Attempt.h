#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/HttpCall.h"

#include <functional>
#include <memory>
#include <string>

namespace papayabend::gateway {

/** \struct Attempt
 * \brief One request that waits for a connection to an upstream, or is on one.
 */
struct Attempt {
    std::string upstream; /**< Id. */
    std::string requestId;
    bool isHead { false };
    bool needsFreshConnection { false }; /**< The request must not be lost to a connection that the peer closes. */
    base::TimePoint createdAt {};
    base::TimePoint sentAt {}; /**< 0 until a byte has been handed to a connection. */
    bool isEnded { false };
    std::function<std::string(const std::string& upstream)> text; /**< Builds the request at the time of the send. */
    std::function<void(Attempt&)> onSent;
    std::function<void(Attempt&, CallResult)> onEnd; /**< Called once. */
    std::weak_ptr<HttpConnection> connection;

    bool isSent() const { return sentAt != base::TimePoint {}; }
};

}
