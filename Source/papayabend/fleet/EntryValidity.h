#pragma once

#include "papayabend/fleet/FleetView.h"

#include <map>
#include <set>
#include <string>

namespace papayabend::fleet {

/** \struct EntryValiditySettings
 * \brief Settings that determine how long an entry answer is valid.
 */
struct EntryValiditySettings {
    base::Duration timeToLive { std::chrono::seconds(1) };
    base::Duration calmTimeToLive { std::chrono::seconds(1) }; /**< Used in calm; not above timeToLive: no effect. */
    base::Duration grace { std::chrono::seconds(6) }; /**< Longest time from the begin of a planned stop to its end. */
};

/** \struct SeenHost
 * \brief State of another host at the last call of observe().
 */
struct SeenHost {
    uint64_t incarnation { 0 };
    HostStage stage { HostStage::Starting };
    bool isAlive { true };
};

/** \struct FleetCalm
 * \brief When hosts of the fleet last started, stopped, were lost or returned.
 */
struct FleetCalm {
    base::TimePoint changedAt {}; /**< Last change in the fleet, as seen here or stated by another host. */
    base::TimePoint seenChangeAt {}; /**< Last change among the hosts that this host hears directly. */
    base::TimePoint lastCalmAt {}; /**< Last call of observe() at which the fleet was calm. */
    std::string cause; /**< Host and kind of the last change or of the present suspicion. */
    bool isUnsettled { false }; /**< A host is starting, stopping or suspect at this moment. */
    std::map<std::string, SeenHost> hosts; /**< Those that this host hears directly. */
    std::set<std::string> domains; /**< Failure domains with a host that is alive. */
};

/** Time after a change for which the fleet is not calm. In a series of planned stops the next one begins within it: up
 * to 6 s of grace time, the start of the next process, and a pause. */
constexpr base::Duration calmTime { std::chrono::seconds(20) };

/** Time without a heartbeat after which a host that is heard directly is suspect; two in a row are then missing. */
constexpr base::Duration suspectTime { std::chrono::milliseconds(1250) };

/** The same in a large fleet, whose hosts send to each other in every second round; one is then missing. */
constexpr base::Duration largeFleetSuspectTime { std::chrono::milliseconds(1750) };

/** Compares the fleet with its state at the last call and records changes.
 *
 * In a large fleet, what becomes of a host of another failure domain is not seen here: relayed heartbeats may be late
 * by more than the time after which a host counts as lost. The hosts of its failure domain state the change in their
 * heartbeats (changeAgeMs); the loss of the whole failure domain is seen.
 */
void observe(FleetCalm&, const FleetView&, base::TimePoint now);

/** Returns the changeAgeMs of this host's heartbeat. */
uint32_t changeAgeOf(const FleetCalm&, base::TimePoint now);

bool isCalm(const FleetCalm&, base::TimePoint now);

/** Returns how long an answer that is given now is valid.
 *
 * It is bounded so that an answer which was given just before a planned stop ends before the grace time does.
 */
base::Duration entryTimeToLive(const FleetCalm&, const EntryValiditySettings&, base::TimePoint now);

/** Returns until when a host whose planned stop began at \a stoppedAt serves callers whose answer names it.
 *
 * This is three times the time to live, since some callers keep an answer so long, and the time to live in calm from
 * the last moment at which the fleet was calm. Callers that keep such an answer three times as long find the port
 * closed and use another address at once.
 */
base::TimePoint answersExpireAt(const FleetCalm&, const EntryValiditySettings&, base::TimePoint stoppedAt);

}
