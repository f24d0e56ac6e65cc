#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/entry/RankHosts.h"
#include "papayabend/membership/Lifecycle.h"

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::engine {

/** \struct StopSettings
 * \brief Phases of a planned stop.
 */
struct StopSettings {
    /** Time for which other hosts may still name this host after it has announced the stop. */
    base::Duration announcement { std::chrono::seconds(2) };
    /** Requests that still run after this time are handed over with an unknown outcome. It exceeds the longest
     * deadline and the time for which an outcome is awaited after it.
     */
    base::Duration drain { std::chrono::seconds(100) };
    /** Time in which requests that arrive during the hand-over get their replies. */
    base::Duration lastReplies { std::chrono::seconds(70) };
};

/** \class EntryPath
 * \brief Which hosts callers should use, and the stages of a planned stop. Safe for use by several threads.
 */
class EntryPath {
public:
    EntryPath(SharedState&, const entry::EntrySettings&, const StopSettings&);

    entry::EntryAnswer rank(
        std::string_view account, std::string_view service, const entry::Caller&, base::TimePoint now);

    /** Returns the address of another serving host to which a caller should turn; none if there is none. */
    std::optional<std::string> otherHost(
        std::string_view account, std::string_view service, const entry::Caller&, base::TimePoint now);

    /** Starts the planned stop; returns false if it has been started before. */
    bool beginStop(base::TimePoint now);
    membership::Lifecycle stage() const;

    /** Returns the next stage of the stop if it is due. \a openRequests counts requests that wait or run. */
    std::optional<membership::Lifecycle> nextStage(size_t openRequests, bool isHandedOver, base::TimePoint now);

private:
    SharedState& m_shared;
    entry::EntrySettings m_settings;
    StopSettings m_stop;
    mutable std::mutex m_mutex;
    entry::CallerAssignments m_assignments;
    membership::Lifecycle m_stage { membership::Lifecycle::Serving };
    base::TimePoint m_stageBegan {};
};

/** Returns the names of the hosts that serve a service; empty if the service is not known. */
std::vector<std::string> servingSet(const SharedState&, std::string_view service);

}
