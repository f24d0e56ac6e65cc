#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::execution {

/** \struct TicketId
 * \brief Identifies a permission to run one non-idempotent request at most once.
 */
struct TicketId {
    std::string host; /**< Host that issued it. */
    uint64_t incarnation { 0 }; /**< Process that issued it; only this process may run the request. */
    uint64_t sequence { 0 };

    bool operator==(const TicketId&) const = default;
};

/** Returns the text form "host.incarnation.sequence"; both numbers are hexadecimal. */
std::string toString(const TicketId&);

/** Parses the text form. The host name may contain dots. */
std::optional<TicketId> parseTicketId(std::string_view text, base::LastReason& reason);

/** \enum TicketState
 * \brief State of a ticket; it only advances.
 */
enum class TicketState : uint8_t {
    Unused,
    Sent, /**< Set before the first byte of the request is handed to a transport. */
    Finished,
    Closed, /**< The request was never sent and can no longer be sent. */
};

/** Returns the wire name: "unused", "sent", "finished" or "closed". */
std::string_view toString(TicketState);

/** \struct TicketRecord
 * \brief State and outcome of a ticket at its issuing process, which hands it over to peers at a planned stop.
 */
struct TicketRecord {
    TicketId id;
    std::string account;
    std::string service;
    TicketState state { TicketState::Unused };
    base::Verdict verdict { base::Verdict::NotRun };
    std::string body; /**< Answer of the upstream, if the verdict is Ran. */
    uint64_t fingerprint { 0 }; /**< Hash of the request's body; 0 before the first use. */
    base::RefusalCode code { base::RefusalCode::OutcomeUnknown }; /**< Reason, if the verdict is not Ran. */
};

}
