#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::base {

/** \enum RefusalCode
 * \brief Machine-readable reason for which a request got no answer.
 */
enum class RefusalCode : uint8_t {
    BadRequest,
    BodyTooLarge,
    UnknownAccount,
    UnknownService,
    AccessDenied, /**< The table grants the client account no access to the service. */
    LimitReached, /**< The client account used its limit of the service. */
    QueueFull,
    DeadlineTooShort, /**< The remaining time does not suffice at the present queue length. */
    DeadlineExceeded,
    Overloaded,
    NoUpstream, /**< No usable upstream serves the service. */
    Quarantined, /**< The request crashed upstreams before. */
    NotReady, /**< The host has no table or catalogue yet. */
    StaleView, /**< The process was paused and its view has not been refreshed. */
    Stopping,
    TicketMissing,
    TicketInvalid,
    TicketExpired,
    OutcomeUnknown, /**< The ticket's host cannot be asked, or the attempt's outcome was lost. */
    UpstreamFailed,
    Internal,
};

/** Returns the wire name in snake case, for example "queue_full". */
std::string_view toString(RefusalCode);

/** Returns the HTTP status code that callers receive. */
int httpStatus(RefusalCode);

/** \struct Refusal
 * \brief Answer to a request that was not carried out.
 */
struct Refusal {
    RefusalCode code { RefusalCode::Internal };
    Verdict verdict { Verdict::MayHaveRun };
    std::string detail;
    std::optional<Duration> retryAfter;
};

}
