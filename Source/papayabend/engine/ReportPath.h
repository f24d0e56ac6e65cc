#pragma once

#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/report/BurnRecorder.h"

#include <string>
#include <tbb/concurrent_hash_map.h>

namespace papayabend::engine {

/** \class ReportPath
 * \brief Records the outcome of every caller's request for the error-budget report. Thread-safe.
 */
class ReportPath {
public:
    explicit ReportPath(SharedState&);

    /** Records a request that a caller sent to this host. A forwarded request counts only at the forwarding host. */
    void requestReceived(routing::RequestId, std::string account, std::string service, base::TimePoint now);
    /** Records the replies among the actions and returns the actions unchanged. */
    Actions recordReplies(Actions, base::TimePoint now);
    void tick(base::TimePoint now);

    report::Report report(base::TimePoint now, const report::BurnRecorder::Granted& granted) const;

private:
    struct OpenRequest {
        std::string account;
        std::string service;
        base::TimePoint received {};
    };

    void recordOutcome(routing::RequestId, report::Outcome, base::TimePoint now);
    // Returns the number of shards of the snapshot, each of which needs one attempt.
    uint32_t neededAttempts(routing::RequestId, const query::SearchAnswer&) const;

    SharedState& m_shared;
    report::BurnRecorder m_recorder;
    tbb::concurrent_hash_map<routing::RequestId, OpenRequest> m_openRequests;
    std::atomic<uint64_t> m_tableVersion { 0 };
};

}
