#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::base {

/** \enum RefusalCode
 * \brief Machine-readable reason why a request was refused or failed.
 */
enum class RefusalCode : uint8_t {
    BadRequest,
    BodyTooLarge,
    UnknownAccount,
    UnknownService,
    AccessDenied, /**< The table grants the client account no access to the service. */
    LimitReached, /**< The client account has used up its limit for the service. */
    QueueFull,
    DeadlineTooShort, /**< The time left until the deadline is too short for the current queue length. */
    DeadlineExceeded,
    Overloaded,
    NoUpstream, /**< The service has no usable upstream. */
    Quarantined, /**< The request has crashed upstreams before. */
    NotReady, /**< The host has no table or catalogue yet. */
    StaleView, /**< The process was paused and its view has not been refreshed since. */
    Stopping,
    TicketMissing,
    TicketInvalid,
    TicketExpired,
    OutcomeUnknown, /**< The ticket's host cannot be reached, or the attempt's outcome was lost. */
    UpstreamFailed,
    Internal,
};

/** Returns the wire name in snake case, for example "queue_full". */
std::string_view toString(RefusalCode);

/** Returns the HTTP status code that callers receive. */
int httpStatus(RefusalCode);

/** \struct Refusal
 * \brief Answer to a request that was refused or failed. Its verdict states whether the request may have run.
 */
struct Refusal {
    RefusalCode code { RefusalCode::Internal };
    Verdict verdict { Verdict::MayHaveRun };
    std::string detail;
    std::optional<Duration> retryAfter;
};

}
