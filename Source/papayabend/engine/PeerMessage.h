#pragma once

#include "papayabend/admission/Demand.h"
#include "papayabend/dissemination/StoredValue.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/membership/Observation.h"
#include "papayabend/routing/QuarantineNotice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::engine {

using dissemination::ValueDelta;
using dissemination::ValueRequest;

/** \struct PeerMessage
 * \brief Control message between two hosts; sections without content are empty.
 */
struct PeerMessage {
    membership::HostObservation sender;
    uint64_t probe { 0 }; /**< Number that the receiver returns as answerTo; 0: no answer is requested. */
    uint64_t answerTo { 0 }; /**< Probe that this message answers; 0: none. */
    std::vector<dissemination::ValueDigest> digests;
    std::vector<ValueRequest> valueRequests;
    std::vector<ValueDelta> deltas;
    std::vector<membership::HostObservation> hosts;
    std::vector<admission::DemandReport> demand;
    uint64_t demandSequence { 0 }; /**< Number of the sender's demand report; 0: the message contains none. */
    bool countsReceiver { false }; /**< The sender's portions and leases leave room for the receiver's portions. */
    std::vector<admission::QuotaLease> leases;
    std::vector<routing::QuarantineNotice> quarantine;
    std::vector<execution::TicketRecord> ticketRecords;
    uint64_t handOver { 0 }; /**< Number of the batch in ticketRecords, to be acknowledged; 0: none. */
    uint64_t handOverAck { 0 }; /**< Batch that the sender has stored; 0: none. */
};

}
