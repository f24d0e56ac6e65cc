#pragma once

#include "papayabend/admission/Demand.h"
#include "papayabend/dissemination/Digest.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/membership/Observation.h"
#include "papayabend/routing/QuarantineNotice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::engine {

/** \struct ValueDelta
 * \brief Changed rows of a published value, or the whole text if the receiver has no usable base.
 */
struct ValueDelta {
    std::string key;
    uint64_t baseVersion { 0 }; /**< 0: \a text is the whole value. */
    uint64_t version { 0 };
    uint64_t contentHash { 0 }; /**< Hash of the whole value after the change. */
    std::string text;
};

/** \struct ValueRequest
 * \brief Asks a peer for a value newer than the version that the sender has in force.
 */
struct ValueRequest {
    std::string key;
    uint64_t haveVersion { 0 };
    uint64_t haveContentHash { 0 };
};

/** \struct PeerMessage
 * \brief Control message between two hosts; sections without content are empty.
 */
struct PeerMessage {
    membership::HostObservation sender;
    uint64_t probe { 0 }; /**< Number that the receiver returns as answerTo; 0: no answer is asked for. */
    uint64_t answerTo { 0 }; /**< Probe that this message answers; 0: none. */
    std::vector<dissemination::ValueDigest> digests;
    std::vector<ValueRequest> valueRequests;
    std::vector<ValueDelta> deltas;
    std::vector<membership::HostObservation> hosts;
    std::vector<admission::DemandReport> demand;
    std::vector<admission::QuotaLease> leases;
    std::vector<routing::QuarantineNotice> quarantine;
    std::vector<execution::TicketRecord> ticketRecords;
};

}
