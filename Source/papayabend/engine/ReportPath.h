#pragma once

#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/report/BurnRecorder.h"

#include <string>
#include <tbb/concurrent_hash_map.h>

namespace papayabend::engine {

/** \class ReportPath
 * \brief Records the end of every caller's request for the service-level burn. Thread-safe.
 */
class ReportPath {
public:
    explicit ReportPath(SharedState&);

    /** Remembers a request that a caller sent to this host. Forwarded requests count at the host that forwards. */
    void started(routing::RequestId, std::string account, std::string service, base::TimePoint now);
    /** Records the replies among the actions and returns the actions. */
    Actions observed(Actions, base::TimePoint now);
    void tick(base::TimePoint now);

    report::Report report(base::TimePoint now, const report::BurnRecorder::Granted& granted) const;

private:
    struct OpenRequest {
        std::string account;
        std::string service;
        base::TimePoint received {};
    };

    void ended(routing::RequestId, report::Outcome, base::TimePoint now);
    uint32_t shardCount(routing::RequestId, const query::SearchAnswer&) const;

    SharedState& m_shared;
    report::BurnRecorder m_recorder;
    tbb::concurrent_hash_map<routing::RequestId, OpenRequest> m_open;
    std::atomic<uint64_t> m_tableVersion { 0 };
};

}
