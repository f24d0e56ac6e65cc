#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/routing/Attempt.h"

#include <optional>
#include <string>
#include <variant>

namespace papayabend::execution {

/** \enum ExecutionKind
 * \brief What a caller requests for a ticket.
 */
enum class ExecutionKind : uint8_t {
    Run,
    QueryOutcome, /**< Returns the state of the ticket and starts nothing. */
};

/** \struct ExecutionRequest
 * \brief A caller's non-idempotent request, or its query for the outcome of an earlier one.
 */
struct ExecutionRequest {
    routing::RequestId id { 0 };
    ExecutionKind kind { ExecutionKind::Run };
    std::string ticket; /**< Text form. */
    std::string account; /**< Empty for QueryOutcome. */
    std::string service; /**< Empty for QueryOutcome. */
    std::string body;
    base::TimePoint received {};
    base::TimePoint deadline {}; /**< The caller waits until then; a request that was sent continues to run. */
    bool isForwarded { false }; /**< Received from another host; it is not forwarded again. */
};

/** \struct IssuedTicket
 * \brief A new ticket in its text form.
 */
struct IssuedTicket {
    std::string ticket;
    base::Duration validity {}; /**< Time from issue to the latest first use. */
};

/** \struct ExecutionAnswer
 * \brief Answer of the upstream that ran the request.
 */
struct ExecutionAnswer {
    std::string ticket;
    std::string body;
};

/** \struct OutcomeAnswer
 * \brief State of a ticket. The verdict is missing while the request may still be started.
 */
struct OutcomeAnswer {
    std::string ticket;
    TicketState state { TicketState::Unused };
    std::optional<base::Verdict> verdict;
    std::string body; /**< Answer of the upstream, if the verdict is Ran. */
};

/** Reply of the host that a request was forwarded to. */
using ForwardReply = std::variant<ExecutionAnswer, OutcomeAnswer, base::Refusal>;

}
