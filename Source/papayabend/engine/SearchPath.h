#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/query/Search.h"
#include "papayabend/query/SearchLimiter.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <tbb/concurrent_hash_map.h>
#include <vector>

namespace papayabend::engine {

/** \class SearchPath
 * \brief Running searches of the host. Safe for use by several threads; events of one search are serialised.
 */
class SearchPath {
public:
    explicit SearchPath(SharedState&);

    Actions start(query::SearchRequest, base::TimePoint now);
    Actions attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    Actions timerExpired(routing::RequestId, base::TimePoint now);
    /** Sends the probes that are due; the arrival of a request of any kind is the occasion. */
    Actions probe(routing::RequestId, base::TimePoint now);

private:
    struct RunningSearch {
        query::Search search;
        base::Random random;
        routing::AttemptId lastAttempt { 0 };
        bool isRunning { false }; /**< Not while it waits at the limiter. */
    };
    using Searches = tbb::concurrent_hash_map<routing::RequestId, std::shared_ptr<RunningSearch>>;

    query::SearchContext contextOf(RunningSearch&);
    void perform(Searches::accessor&, query::SearchStep&&, Actions&);

    /** Starts a search that the limiter has let in. */
    void run(Searches::accessor&, Actions&, base::TimePoint now);

    /** Starts waiting searches of a service as far as its limit allows. */
    void runWaiting(const std::string& service, Actions&, base::TimePoint now);
    uint32_t limitOf(const std::string& service);

    /** Lets waiting searches use the free slots of an upstream, first come first served. */
    void wake(catalog::UpstreamId, Actions&, base::TimePoint now);
    void waitFor(const std::vector<catalog::UpstreamId>&, routing::RequestId);
    std::optional<routing::RequestId> nextWaiting(catalog::UpstreamId);

    SharedState& m_shared;
    Searches m_searches;
    query::SearchLimiter m_limiter;
    std::atomic<routing::AttemptId> m_lastProbe;
    std::mutex m_waitingMutex;
    std::vector<std::deque<routing::RequestId>> m_waiting; /**< By number of the upstream. */
};

}
