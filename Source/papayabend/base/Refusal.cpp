#include "papayabend/base/Refusal.h"

#include <array>

namespace papayabend::base {

namespace {

    struct CodeInfo {
        std::string_view name;
        int httpStatus;
    };

    // In the order of RefusalCode.
    constexpr std::array codeInfos {
        CodeInfo { "bad_request", 400 },
        CodeInfo { "body_too_large", 413 },
        CodeInfo { "unknown_account", 403 },
        CodeInfo { "unknown_service", 404 },
        CodeInfo { "access_denied", 403 },
        CodeInfo { "limit_reached", 429 },
        CodeInfo { "queue_full", 429 },
        CodeInfo { "deadline_too_short", 503 },
        CodeInfo { "deadline_exceeded", 504 },
        CodeInfo { "overloaded", 503 },
        CodeInfo { "no_upstream", 503 },
        CodeInfo { "quarantined", 422 },
        CodeInfo { "not_ready", 503 },
        CodeInfo { "stale_view", 503 },
        CodeInfo { "stopping", 503 },
        CodeInfo { "ticket_missing", 428 },
        CodeInfo { "ticket_invalid", 400 },
        CodeInfo { "ticket_expired", 410 },
        CodeInfo { "outcome_unknown", 504 },
        CodeInfo { "upstream_failed", 502 },
        CodeInfo { "internal", 500 },
    };
    static_assert(codeInfos.size() == static_cast<size_t>(RefusalCode::Internal) + 1);

}

std::string_view toString(RefusalCode code) { return codeInfos[static_cast<size_t>(code)].name; }

int httpStatus(RefusalCode code) { return codeInfos[static_cast<size_t>(code)].httpStatus; }

}
