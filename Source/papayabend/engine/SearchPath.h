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
 * \brief Runs the searches of the host. Thread-safe; events of one search are serialised.
 */
class SearchPath {
public:
    explicit SearchPath(SharedState&);

    Actions start(query::SearchRequest, base::TimePoint now);
    Actions attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    Actions timerExpired(routing::RequestId, base::TimePoint now);
    /** Sends health probes to upstreams whose backoff has ended. Called on the arrival of a search or non-idempotent
     * request, because probes have no timer.
     */
    Actions sendDueProbes(routing::RequestId, base::TimePoint now);

private:
    struct OpenSearch {
        query::Search search;
        base::Random random;
        routing::AttemptId lastAttempt { 0 };
        bool isRunning { false }; /**< False while the search waits for the limiter. */
    };
    using Searches = tbb::concurrent_hash_map<routing::RequestId, std::shared_ptr<OpenSearch>>;

    query::SearchContext makeContext(OpenSearch&);
    void applyStep(Searches::accessor&, query::SearchStep&&, Actions&);

    /** Starts a search that the limiter allows to run. */
    void run(Searches::accessor&, Actions&, base::TimePoint now);

    /** Starts waiting searches of a service until its limit of running searches is reached. */
    void runWaiting(const std::string& service, Actions&, base::TimePoint now);
    uint32_t runningLimit(const std::string& service);

    /** Assigns the free slots of an upstream to the searches that wait for it, in the order of their arrival. */
    void assignFreeSlots(catalog::UpstreamId, Actions&, base::TimePoint now);
    void enqueueForSlots(const std::vector<catalog::UpstreamId>&, routing::RequestId);
    std::optional<routing::RequestId> dequeueForSlot(catalog::UpstreamId);

    SharedState& m_shared;
    Searches m_searches;
    query::SearchLimiter m_limiter;
    std::atomic<routing::AttemptId> m_lastProbe;
    std::mutex m_slotQueuesMutex;
    std::vector<std::deque<routing::RequestId>> m_slotQueues; /**< Waiting searches, by number of the upstream. */
};

}
