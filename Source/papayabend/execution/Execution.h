#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/routing/Attempt.h"

#include <optional>
#include <string>
#include <variant>

namespace papayabend::execution {

/** \enum ExecutionKind
 * \brief What a caller asks of a ticket.
 */
enum class ExecutionKind : uint8_t {
    Run,
    QueryOutcome, /**< Tells the state of the ticket and starts nothing. */
};

/** \struct ExecutionRequest
 * \brief A caller's non-idempotent request, or its question for the outcome of one.
 */
struct ExecutionRequest {
    routing::RequestId id { 0 };
    ExecutionKind kind { ExecutionKind::Run };
    std::string ticket; /**< Text form. */
    std::string account; /**< Empty for QueryOutcome. */
    std::string service; /**< Empty for QueryOutcome. */
    std::string body;
    base::TimePoint received {};
    base::TimePoint deadline {}; /**< Ends the caller's wait; a request that was sent goes on. */
    bool isForwarded { false }; /**< Received from another host; it is not forwarded again. */
};

/** \struct IssuedTicket
 * \brief A new ticket in its text form.
 */
struct IssuedTicket {
    std::string ticket;
    base::Duration validity {}; /**< From issue to the latest first use. */
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
