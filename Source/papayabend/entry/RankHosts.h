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
 * \brief Form and life of an answer.
 */
struct EntrySettings {
    base::Duration timeToLive { std::chrono::seconds(5) };
    size_t hosts { 3 }; /**< Addresses in an answer. */
};

/** \struct Caller
 * \brief Who asks for hosts.
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
 * \brief Callers that this host has named each host to, so that it can spread them evenly.
 */
struct CallerAssignments {
    struct Assignment {
        std::string host;
        base::TimePoint until {};
    };
    std::map<std::string, Assignment, std::less<>> byCaller;
    std::map<std::string, size_t, std::less<>> callers; /**< By host. */
    base::TimePoint lastCleaning {};
};

/** Ranks the serving hosts for a caller of a service: hosts of the caller's failure domain first, then by rendezvous
 * hash of the caller. The first host is one to which not more callers were named than its free part of the load
 * warrants. \a servingSet holds the names of the hosts that serve the service; empty: all.
 */
EntryAnswer rankHosts(const membership::HostView&, std::span<const std::string> servingSet, std::string_view account,
    std::string_view service, const Caller&, const EntrySettings&, CallerAssignments&, base::TimePoint now);

}
