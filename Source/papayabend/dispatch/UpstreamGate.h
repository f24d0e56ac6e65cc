#pragma once

#include "papayabend/discovery/Evacuations.h"
#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/ColdUpstreams.h"
#include "papayabend/dispatch/UpstreamHolds.h"
#include "papayabend/dispatch/UpstreamLimits.h"

#include <optional>
#include <span>
#include <string>

namespace papayabend::dispatch {

/** \struct UpstreamGate
 * \brief What upstreams have said about themselves, from which follows whether a request may go to one now.
 *
 * The only place that decides whether an upstream may get an attempt, see reasonAgainst(). It is asked when an upstream
 * is chosen and again when the attempt is sent, since an attempt may wait for a connection longer than the state of its
 * upstream lasts.
 */
struct UpstreamGate {
    UpstreamHolds holds;
    UpstreamLimits limits;
    double limitShare { 1 }; /**< This host's part of the limits, see fleet::demandShare(). */
    ColdUpstreams cold;
    double coldPart { 1 }; /**< This host's part of the bounds of cold upstreams, see fleet::ColdShare. */
    std::string hostName; /**< Of this host. */

    bool isEmpty() const { return holds.isEmpty() && limits.isEmpty(); }
};

/** \enum GateReason
 * \brief Why an attempt may not be sent to an upstream.
 */
enum class GateReason : uint8_t {
    None, /**< It may be sent. */
    Gone, /**< The store no longer lists the upstream. */
    Missing, /**< The same since a moment ago, and others are listed. */
    Draining,
    Evacuated, /**< Its failure domain is being evacuated. */
    Leaving, /**< It has answered that it leaves. */
    Misdirected, /**< Another upstream answers at its address. */
    Paused, /**< It has asked for a pause. */
    Limited, /**< The rate that it has named is used up, or the attempt is a hedge. */
    Cold, /**< It has just started, and this host's part of the bound is used up, or the attempt is a hedge. */
    Returning, /**< The evacuation of its failure domain has just ended, and this request was not drawn to return. */
};

/** \struct GateSubject
 * \brief An upstream, and what this host has observed of it.
 */
struct GateSubject {
    const discovery::UpstreamEntry& entry;
    base::TimePoint misdirectedUntil {}; /**< See UpstreamLoad. */
    uint32_t waiting { 0 }; /**< Attempts that wait for a connection to it and will be sent before this one. */
};

/** \struct GateQuery
 * \brief The attempt for which the gate is asked.
 */
struct GateQuery {
    bool hasListed { true }; /**< See hasListed(). */
    bool isHedge { false };
    /** Number in [0, 1) of the request, below which the returned share of a failure domain has to be for it. */
    double returnDraw { 0 };
    const discovery::Evacuations* evacuations { nullptr }; /**< None if nullptr. */
    base::TimePoint resumedAt {}; /**< End of the last pause of the process; changes that it reads then may be old. */
    ColdBound coldBound; /**< Of the service. */
    uint32_t rank { 0 }; /**< Priority of the request, 0 being the most urgent. */
    base::TimePoint now;
};

/** Returns the key of an upstream process in the gate. */
uint64_t keyOf(const discovery::UpstreamRecord&);

/** Returns why the attempt may not be sent to the upstream now, if so. */
GateReason reasonAgainst(const UpstreamGate&, const GateSubject&, const GateQuery&);

/** Returns whether the upstream is cold and its service has a bound for such ones. */
bool isColdAndBounded(const UpstreamGate&, const discovery::UpstreamEntry&, const GateQuery&);

/** Returns the time until the bound of cold upstreams allows an attempt; 0 if it does now. */
base::Duration coldWaitFor(const UpstreamGate&, const GateSubject&, const GateQuery&);

/** Returns the part of reasonAgainst() that follows from the upstream's entry and address. */
GateReason reasonByListing(const GateSubject&, bool hasListed, base::TimePoint now);

/** Returns whether the reason closes the upstream to every request, and not only for a short time: attempts that wait
 * for it are then ended at once. */
bool isLasting(GateReason);

/** Returns the reason for the log and the metrics, for example "draining". */
const char* toString(GateReason);

/** Returns whether the upstream is listed and not draining. */
bool isListed(const discovery::UpstreamEntry&);

/** Returns whether any upstream of a service is listed and not draining. */
bool hasListed(std::span<const discovery::UpstreamEntry* const> entries);

/** Returns how many of the upstreams of a service a request may be sent to.
 *
 * Missing ones count only if all listed ones are draining: entries that are missing together expired during an outage
 * of the store, whereas a single missing one has left. Those in the failure domains of \a evacuations do not count.
 */
size_t countUsable(
    std::span<const discovery::UpstreamEntry* const> entries, const discovery::Evacuations* evacuations = nullptr);

/** Returns the time until the limit and the pause of the upstream with \a key allow a request, or nothing if it leaves.
 * \a waiting: see GateSubject. */
std::optional<base::Duration> waitFor(const UpstreamGate&, uint64_t key, base::TimePoint now, uint32_t waiting = 0);

/** Returns whether the statements of the upstream with \a key allow a request now. Hedges are not sent to an upstream
 * with a limit, as they would take the place of first attempts. */
bool isOpen(const UpstreamGate&, uint64_t key, bool isHedge, base::TimePoint now);

}
