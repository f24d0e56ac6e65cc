#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/membership/HostView.h"

#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::entry {

/** \struct EntrySettings
 * \brief Number of hosts that a caller is told to use, and how long it may use them.
 */
struct EntrySettings {
    base::Duration timeToLive { std::chrono::seconds(5) };
    size_t hosts { 3 }; /**< Largest number of addresses in an answer. */
};

/** \struct Caller
 * \brief Caller that requests the hosts of a service.
 */
struct Caller {
    std::string name; /**< Any text that stays the same for one caller, for example its address. */
    std::string failureDomain; /**< Empty: not known. */
};

/** \struct EntryAnswer
 * \brief Hosts that a caller should use, the best one first.
 */
struct EntryAnswer {
    std::vector<membership::HostObservation> hosts;
    base::Duration timeToLive {};
};

/** \struct CallerAssignments
 * \brief Host that this host named first to each caller, and how many callers each host got, so that callers are
 * distributed evenly.
 */
struct CallerAssignments {
    struct Assignment {
        std::string host;
        base::TimePoint expiresAt {};
    };
    std::map<std::string, Assignment, std::less<>> byCaller; /**< By account, service and caller. */
    std::map<std::string, size_t, std::less<>> callerCounts; /**< By host. */
    base::TimePoint lastCleanup {};
};

/** Ranks the serving hosts for a caller of a service: hosts of the caller's failure domain first, then by rendezvous
 * hash of the caller, weighted by the free capacity. The first host is the best one that does not already have more
 * callers than its share by free capacity. \a servingSet holds the names of the hosts that serve the service; empty:
 * all.
 */
EntryAnswer rankHosts(const membership::HostView&, std::span<const std::string> servingSet, std::string_view account,
    std::string_view service, const Caller&, const EntrySettings&, CallerAssignments&, base::TimePoint now);

}
