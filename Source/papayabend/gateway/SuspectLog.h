#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/EventLog.h"

#include <cstdint>
#include <string_view>

namespace papayabend::gateway {

/** \struct SuspectChange
 * \brief Change of what this host knows of the upstreams that ended while they ran a request.
 */
struct SuspectChange {
    std::string_view source; /**< `attempt`, `probe`, `answer` or `peer`. */
    uint64_t fingerprint { 0 }; /**< Of the request, see dispatch::CrashSuspects::fingerprintOf(). */
    uint32_t losses { 0 }; /**< Upstreams that count against the request now. */
    std::string_view requestId; /**< Empty if the source is `peer`. */
    std::string_view upstream; /**< Id of the upstream that has ended or answered; empty if the source is `peer`. */
};

/** Writes the event `suspect`. */
void logSuspect(EventLog&, const SuspectChange&, base::TimePoint now);

}
