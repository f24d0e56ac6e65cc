#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>

namespace papayabend::dissemination {

/** \struct ReadSituation
 * \brief Conditions of this host on which its platform reads depend.
 */
struct ReadSituation {
    bool hasValue { false };
    bool isReader { false }; /**< Chosen to watch the value for its failure domain. */
    bool isSeed { false }; /**< Other hosts request values from this one when they start. */
    bool canWatch { true }; /**< False for the host list, which can only be polled. */
    bool isWantedNow { false }; /**< A read is needed to end a stale view. */
    base::TimePoint lastPeerAnswer {};
};

/** \struct ReadPlan
 * \brief Schedule of this host's reads of one key from the platform. At most one read is in flight.
 */
struct ReadPlan {
    base::TimePoint start {}; /**< Start of the process. */
    base::TimePoint emptyFallback {}; /**< Time at which a host without a value reads although it is no reader. */
    base::TimePoint earliestRead {}; /**< No read starts before. */
    base::Duration
        maxPeerSilence {}; /**< Time without an answer of any peer, after which a host that is no reader reads. */
    base::TimePoint lastStart {}; /**< Start of the last read. */
    base::Duration lastWait {}; /**< Time that the last read waits for a newer version; 0: not a watch. */
    bool isInFlight { false };
    unsigned failures { 0 }; /**< Failed reads since the last answer. */
    uint64_t started { 0 }; /**< Number of reads started. */
};

/** Chooses a random time of the first read of a starting host. If no peer has a value, the whole fleet may read; the
 * density of read times therefore rises from zero, so that the first few hosts read and the others receive the value
 * from them before their own read is due.
 */
ReadPlan startReadPlan(bool isSeed, base::TimePoint now, base::Random&);

/** Starts a read if one is due now, and returns how long the platform may delay its answer until a newer version
 * exists; 0 for a read that is answered immediately. Returns std::nullopt if no read is due.
 */
std::optional<base::Duration> nextRead(ReadPlan&, const ReadSituation&, base::TimePoint now, base::Random&);

/** Records the end of a read. \a isSuccess: the platform answered. \a isNewVersion: the answer held a newer version,
 * which was put into force.
 */
void readEnded(ReadPlan&, bool isSuccess, bool isNewVersion, base::TimePoint now, base::Random&);

}
