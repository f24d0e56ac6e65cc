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
    /** Time for which other hosts may still name this host to callers after it has announced the stop. */
    base::Duration announcement { std::chrono::seconds(2) };
    /** Requests that still run after this time are handed over with an unknown outcome. Exceeds the longest deadline
     * plus the time for which an outcome is awaited after the deadline.
     */
    base::Duration drain { std::chrono::seconds(100) };
    /** Time within which requests that arrive during the hand-over are answered. */
    base::Duration lastReplies { std::chrono::seconds(70) };
};

/** \class EntryPath
 * \brief Ranks the hosts that callers should use, and tracks the stages of a planned stop. Thread-safe.
 */
class EntryPath {
public:
    EntryPath(SharedState&, const entry::EntrySettings&, const StopSettings&);

    entry::EntryAnswer rank(
        std::string_view account, std::string_view service, const entry::Caller&, base::TimePoint now);

    /** Returns the caller address of the best serving host other than this one, if there is one. */
    std::optional<std::string> otherHost(
        std::string_view account, std::string_view service, const entry::Caller&, base::TimePoint now);

    /** Starts the planned stop; returns false if it has already been started. */
    bool beginStop(base::TimePoint now);
    membership::Lifecycle stage() const;

    /** Advances the stop if its next stage is due, and returns that stage. \a openRequests counts requests that wait or
     * run.
     */
    std::optional<membership::Lifecycle> nextStage(size_t openRequests, bool isHandedOver, base::TimePoint now);

private:
    SharedState& m_shared;
    entry::EntrySettings m_settings;
    StopSettings m_stop;
    mutable std::mutex m_mutex;
    entry::CallerAssignments m_assignments;
    membership::Lifecycle m_stage { membership::Lifecycle::Serving };
    base::TimePoint m_stageStart {};
};

/** Returns the names of the hosts that serve a service; empty for an unknown service. */
std::vector<std::string> servingHostNames(const SharedState&, std::string_view service);

}
