#pragma once

#include "papayabend/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace papayabend::fleet {

/** \struct ContentFreshness
 * \brief How recently the store has confirmed this host's content, and whether this host stands in for the readers.
 *
 * A confirmation is an answer of the store that is complete up to a revision that this host has applied. Hosts learn of
 * each other's confirmations with heartbeats, as ages, so that clocks of different hosts are never compared.
 */
struct ContentFreshness {
    base::TimePoint startedAt {}; /**< Start of the process, from which the age counts before the first confirmation. */
    base::TimePoint answeredAt {}; /**< Newest answer of the store to this host. */
    base::TimePoint statedAt {}; /**< Newest confirmation that another host has stated. */
    base::TimePoint cycleAt {}; /**< Newest confirmation that the second reader spaces its answers from. */
    base::TimePoint restartedAt {}; /**< When this host last began to read, or abandoned a call that hung. */
    std::optional<base::TimePoint> standsInSince; /**< Since when it reads although it is not a chosen reader. */
};

/** Age of the newest confirmation from which a host reads the store for itself. The chosen readers' answers are at most
 * half a readerCycle apart. The rest is for the way to other hosts, which takes half a second if the first datagram is
 * lost. */
constexpr base::Duration freshnessBound { std::chrono::milliseconds(2200) };
/** Time over which the hosts that stand in at the same moment are spread. With the bound, a
 * host calls the store after 2.5 s of the 3 s in which a version must be in force. */
constexpr base::Duration standInSpread { std::chrono::milliseconds(300) };
/** Added to a stated age for the travel time of the datagram. A lower value than the real one would let ages shrink
 * with each exchange between two hosts. */
constexpr base::Duration travelAllowance { std::chrono::milliseconds(50) };
/** Delay between the calls of a host that stands in and gets no answer; 1,600 such hosts make at most 2,200 calls a
 * second. */
constexpr base::Duration standInRetryDelay { std::chrono::seconds(1) };
/** Time from one answer without changes to the next at a chosen reader. */
constexpr base::Duration readerCycle { std::chrono::milliseconds(3300) };

/** \enum ReaderKind
 * \brief How a reader spaces its calls.
 */
enum class ReaderKind : uint8_t {
    First, /**< Watches nearly all the time, as do readers of further failure domains. */
    Second, /**< Answers half a cycle after the others; leaves changes just after its own answers to them. */
    StandIn, /**< Is not a chosen reader, but has heard no fresh confirmation. */
};

/** Returns how the chosen reader with \a rank spaces its calls, or a host that is none. */
ReaderKind readerKind(std::optional<size_t> rank);

/** Records an answer of the store that this host has applied. */
void recordAnswer(ContentFreshness&, bool hasChanges, base::TimePoint now);

/** Records that another host, which has no newer content than this one, has stated a confirmation of age \a age. */
void recordStatement(ContentFreshness&, base::Duration age, base::TimePoint now);

/** Returns the time of the newest confirmation; the default if there is none. */
base::TimePoint confirmedAt(const ContentFreshness&);

/** Returns when this host should make a new call to the store if no confirmation arrives until then. It is at position
 * \a slot of \a slots hosts that may read. */
base::TimePoint readingDueAt(const ContentFreshness&, size_t slot, size_t slots);

/** Decides whether a host that is not a chosen reader stands in. It begins when reading is due, and ends when another
 * host has stated a fresh confirmation that is newer than its own. */
void updateStandIn(ContentFreshness&, size_t slot, size_t slots, base::TimePoint now);

/** Returns the time from an answer of the store to the next call. */
base::Duration pauseAfterAnswer(ReaderKind, bool hasChanges);

/** Returns how long the store is to hold the next watch open. */
base::Duration watchTime(ReaderKind, const ContentFreshness&, base::TimePoint now);

}
