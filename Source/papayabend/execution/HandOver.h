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
    /** Numbers of the batches that each target has not acknowledged. */
    std::map<std::string, std::set<uint64_t>, std::less<>> unacknowledged;
    base::TimePoint startedAt {};
    base::TimePoint lastSentAt {};
};

/** Number of hosts that receive a copy of the records. */
constexpr size_t successorCount = 3;

/** Number of hosts that are asked for a ticket that was handed over; larger than successorCount, because the views of
 * the hosts may differ.
 */
constexpr size_t successorsAsked = 5;

/** Returns up to \a count serving hosts other than the issuer, those with the highest rendezvous scores for the issuing
 * process.
 */
std::vector<std::string> successors(const membership::HostView&, const TicketId& process, size_t count);

/** Divides the records into batches, each to be sent to all targets. */
HandOver beginHandOver(std::vector<TicketRecord>, const std::vector<std::string>& targets, base::TimePoint now);

/** Returns all batches that are not acknowledged; none if the resend interval has not passed since they were last
 * returned.
 */
std::vector<HandOverBatch> batchesToSend(HandOver&, base::TimePoint now);

/** Records that \a target has stored a batch. */
void acknowledged(HandOver&, std::string_view target, uint64_t batch);

/** Returns whether the hand-over has ended: all targets have all records, or one has them and the others have not
 * acknowledged them in time, or the time limit of the hand-over has passed.
 */
bool isComplete(const HandOver&, base::TimePoint now);

}
