#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/membership/HostView.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::execution {

/** \struct HandOverBatch
 * \brief Part of the records that fits into one message.
 */
struct HandOverBatch {
    std::string target; /**< Host that takes the records over. */
    uint64_t number { 0 }; /**< From 1. */
    std::vector<TicketRecord> records;
};

/** \struct HandOver
 * \brief Transfer of a stopping host's records to its successors. Not safe for use by several threads.
 */
struct HandOver {
    std::vector<std::vector<TicketRecord>> batches;
    std::map<std::string, std::set<uint64_t>, std::less<>> open; /**< Batches not acknowledged, by target. */
    base::TimePoint begun {};
    base::TimePoint lastSent {};
};

/** Number of hosts that get a copy of the records. */
constexpr size_t successorCount = 3;

/** Number of hosts that are asked for a handed-over ticket; above successorCount, as host views may differ. */
constexpr size_t successorsAsked = 5;

/** Returns up to \a count serving hosts other than the issuer, the first ones by rendezvous hash of the process. */
std::vector<std::string> successors(const membership::HostView&, const TicketId& process, size_t count);

HandOver beginHandOver(std::vector<TicketRecord>, const std::vector<std::string>& targets, base::TimePoint now);

/** Returns the batches to send now: all that are not acknowledged, at intervals. */
std::vector<HandOverBatch> batchesToSend(HandOver&, base::TimePoint now);

void acknowledged(HandOver&, std::string_view target, uint64_t batch);

/** Returns whether every target has all records, or one has them and the others have been silent too long. */
bool isComplete(const HandOver&, base::TimePoint now);

}
