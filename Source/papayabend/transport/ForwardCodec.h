#pragma once

#include "papayabend/execution/Execution.h"

#include "peer.pb.h"

namespace papayabend::transport {

/** Converts a request that is forwarded to the host that issued its ticket. */
protocol::ForwardCall toForwardCall(const execution::ExecutionRequest&, base::TimePoint now);

/** Converts a received call; the request has no request id yet. */
execution::ExecutionRequest fromForwardCall(const protocol::ForwardCall&, base::TimePoint now);

protocol::ForwardReply toForwardReply(const execution::ForwardReply&);

/** Converts a received reply. A reply that cannot be read counts as an unknown outcome. */
execution::ForwardReply fromForwardReply(const protocol::ForwardReply&, const std::string& ticket);

/** Returns the refusal for a request whose target host could not be reached. */
base::Refusal unreachableHost(std::string detail);

}
