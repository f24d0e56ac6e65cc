#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"
#include "papayabend/catalog/UpstreamNames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::routing {

/** Identifies a caller's request; unique in the process. */
using RequestId = uint64_t;
/** Identifies one call to an upstream; unique in the process and never reused. */
using AttemptId = uint64_t;

/** \enum AttemptStatus
 * \brief How a call to an upstream ended.
 */
enum class AttemptStatus : uint8_t {
    Ran,
    Shed, /**< Refused before running: the upstream is overloaded. */
    Draining, /**< Refused before running: the upstream is draining. */
    SnapshotUnavailable, /**< Refused before running: the upstream does not have the snapshot. */
    UnknownShard, /**< Refused before running: the upstream does not have the shard. */
    NotSent, /**< There was no connection, so no byte was sent. */
    ConnectionLost, /**< The connection ended while the call was in flight. */
    TimedOut,
    Cancelled,
    Failed, /**< Any other transport or upstream error after the call was sent. */
};

std::string_view toString(AttemptStatus);

/** Returns whether a call that ended with the status did run, did not run or may have run. */
base::Verdict verdictOf(AttemptStatus);

/** \struct LoadReport
 * \brief Load that an upstream reports in its answers. It is not verified and may be wrong.
 */
struct LoadReport {
    uint32_t slotsBusy { 0 };
    uint32_t queued { 0 };
    bool isDraining { false };
    base::Duration serviceTime {}; /**< Time for which the call occupied a slot. */
};

/** \struct Hit
 * \brief One document found by a search.
 */
struct Hit {
    std::string document;
    double score { 0 };
};

/** \struct Attempt
 * \brief One call to an upstream, to be sent by the transport.
 */
struct Attempt {
    AttemptId id { 0 };
    RequestId request { 0 };
    catalog::UpstreamId upstream {};
    std::string address;
    std::string service;
    std::string shard; /**< Empty for a non-idempotent request. */
    uint64_t snapshot { 0 };
    std::string body; /**< Query text, or body of a non-idempotent request. */
    uint32_t maxHits { 0 };
    base::TimePoint deadline {};
    bool isExecution { false };
    bool isProbe { false }; /**< Health check that runs nothing; may be sent as a Probe call. */
};

/** \struct AttemptResult
 * \brief Result of one call to an upstream.
 */
struct AttemptResult {
    AttemptId attempt { 0 };
    RequestId request { 0 };
    catalog::UpstreamId upstream {};
    AttemptStatus status { AttemptStatus::Failed };
    std::optional<LoadReport> load;
    std::string shard;
    uint64_t snapshot { 0 };
    uint64_t unitsSearched { 0 };
    std::vector<Hit> hits;
    std::string body;
};

}
