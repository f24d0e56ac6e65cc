#pragma once

#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/engine/PeerMessage.h"
#include "papayabend/execution/Execution.h"
#include "papayabend/query/Search.h"
#include "papayabend/routing/Attempt.h"

#include <string>
#include <variant>
#include <vector>

namespace papayabend::engine {

/** Call an upstream. */
struct SendAttempt {
    routing::Attempt attempt;
};

/** Cancel a call to an upstream; its result is still reported to Engine::attemptFinished(). */
struct CancelAttempt {
    routing::AttemptId attempt { 0 };
};

/** Answer a caller's search. */
struct ReplySearch {
    routing::RequestId request { 0 };
    query::SearchAnswer answer;
};

/** Answer a caller's non-idempotent request with the upstream's answer. */
struct ReplyExecution {
    routing::RequestId request { 0 };
    execution::ExecutionAnswer answer;
};

/** Answer a caller's query for the outcome of a ticket. */
struct ReplyOutcome {
    routing::RequestId request { 0 };
    execution::OutcomeAnswer answer;
};

/** Forward a request to a host that may hold the record of its ticket; the reply is reported to
 * Engine::forwardFinished().
 */
struct ForwardExecution {
    std::string host;
    execution::ExecutionRequest request;
};

/** Refuse a caller's request. */
struct ReplyRefusal {
    routing::RequestId request { 0 };
    base::Refusal refusal;
};

/** Call Engine::timerExpired() for the request at the given time. */
struct SetTimer {
    routing::RequestId request { 0 };
    base::TimePoint at {};
};

/** Send a control message to another host; delivery is not guaranteed. */
struct SendPeerMessage {
    std::string peerAddress;
    PeerMessage message;
};

/** Read a value from the platform and report the end of the read to Engine::platformReadEnded().
 *
 * The key "hosts" denotes the host list, which can only be polled.
 */
struct ReadPlatform {
    std::string key;
    uint64_t afterVersion { 0 };
    base::Duration wait {}; /**< How long the platform may wait for a newer version before it answers. */
};

/** Log a change of state. */
struct StateChange {
    std::string component;
    std::string text;
};

/** Operation that the I/O layer (transport::Shell) has to perform after an event. */
using Action = std::variant<SendAttempt, CancelAttempt, ReplySearch, ReplyExecution, ReplyOutcome, ForwardExecution,
    ReplyRefusal, SetTimer, SendPeerMessage, ReadPlatform, StateChange>;
using Actions = std::vector<Action>;

}
