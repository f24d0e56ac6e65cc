#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>

namespace papayabend::dissemination {

/** \struct ReadSituation
 * \brief What the choice of platform reads depends on.
 */
struct ReadSituation {
    bool hasValue { false };
    bool isReader { false }; /**< Chosen to watch the value for its failure domain. */
    bool isSeed { false }; /**< Other hosts ask this one at their start. */
    bool canWatch { true }; /**< The host list can only be polled. */
    bool isWantedNow { false }; /**< A read is needed to end a stale view. */
    base::TimePoint lastPeerAnswer {};
};

/** \struct ReadPlan
 * \brief Reads of one key of the platform by this host. At most one is under way.
 */
struct ReadPlan {
    base::TimePoint start {}; /**< Start of the process. */
    base::TimePoint emptyFallback {}; /**< When a host without a value reads by itself. */
    base::TimePoint nextRead {};
    base::Duration silence {}; /**< Silence of all peers after which a host reads by itself. */
    base::TimePoint lastStart {};
    base::Duration lastWait {};
    bool isUnderWay { false };
    unsigned failures { 0 };
    uint64_t started { 0 };
};

/** Draws the jitter of a starting host. Without peers the whole fleet may read, so the density of reads rises from
 * zero: the first few hosts read, and the others learn the value from them before their own time has come.
 */
ReadPlan startReadPlan(bool isSeed, base::TimePoint now, base::Random&);

/** Returns the time to wait for a newer version if a read is to start now. */
std::optional<base::Duration> nextRead(ReadPlan&, const ReadSituation&, base::TimePoint now, base::Random&);

/** Records the end of a read. \a isSuccess: the platform answered. \a isNewVersion: with a version that was taken. */
void readEnded(ReadPlan&, bool isSuccess, bool isNewVersion, base::TimePoint now, base::Random&);

}
