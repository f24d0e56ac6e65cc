#pragma once

#include "papayabend/execution/Execution.h"

#include "peer.pb.h"

namespace papayabend::transport {

/** Converts a request that is passed to the host that knows its ticket. */
protocol::ForwardCall toForwardCall(const execution::ExecutionRequest&, base::TimePoint now);

/** Converts a received call; the request has no number yet. */
execution::ExecutionRequest fromForwardCall(const protocol::ForwardCall&, base::TimePoint now);

protocol::ForwardReply toForwardReply(const execution::ForwardReply&);

/** Converts a received reply. What cannot be read counts as an unknown outcome. */
execution::ForwardReply fromForwardReply(const protocol::ForwardReply&, const std::string& ticket);

/** Returns the reply that stands for a host that could not be asked. */
base::Refusal unreachableHost(std::string detail);

}
