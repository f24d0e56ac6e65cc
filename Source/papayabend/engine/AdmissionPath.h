#pragma once

#include "papayabend/admission/Admission.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/PeerMessage.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/query/Search.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <tbb/concurrent_hash_map.h>
#include <vector>

namespace papayabend::engine {

/** \struct PassedRequests
 * \brief Requests that left the admission queue after an event.
 */
struct PassedRequests {
    std::vector<query::SearchRequest> searches; /**< Admitted. */
    std::vector<routing::RequestId> executions; /**< Admitted. */
    std::vector<admission::RefusedRequest> refusedSearches;
    std::vector<admission::RefusedRequest> refusedExecutions;
    Actions actions;
};

/** \class AdmissionPath
 * \brief Admission of all requests of the host and exchange of demand and leases. Safe for use by several threads.
 */
class AdmissionPath {
public:
    AdmissionPath(SharedState&, const admission::AdmissionSettings&, const admission::QuotaSettings&);

    PassedRequests submitSearch(query::SearchRequest, base::TimePoint now);
    PassedRequests submitExecution(
        routing::RequestId, std::string account, std::string service, base::TimePoint deadline, base::TimePoint now);

    /** A request needs the upstreams no longer, whether it was admitted or still waits. */
    PassedRequests ended(routing::RequestId, base::TimePoint now);

    /** Takes the service time that an upstream reported. */
    void attemptFinished(const routing::AttemptResult&);

    /** Returns whether the number stands for a queue instead of a request. */
    static bool isQueueTimer(routing::RequestId id) { return (id & queueTimer) != 0; }
    PassedRequests queueTimerExpired(routing::RequestId, base::TimePoint now);

    PassedRequests peerMessage(const PeerMessage&, base::TimePoint now);
    PassedRequests tick(base::TimePoint now);

    /** Takes table and catalogue if they have changed. */
    PassedRequests refresh(base::TimePoint now);

    /** Requests that wait or run. */
    size_t open() const { return m_pending.size(); }
    admission::Admission& admission() { return m_admission; }

private:
    struct Pending {
        std::string account;
        std::string service;
        std::optional<query::SearchRequest> search;
        bool isAdmitted { false };
        base::TimePoint admittedAt {};
        base::Duration serviceTime {}; /**< Sum over the answers. */
        int64_t answers { 0 };
    };
    static constexpr routing::RequestId queueTimer = routing::RequestId { 1 } << 47U;

    PassedRequests submit(routing::RequestId, Pending, base::TimePoint deadline, base::TimePoint now);
    PassedRequests convert(admission::AdmissionStep&&, base::TimePoint now);
    std::vector<admission::ServiceGrants> grants() const;
    Actions exchange(base::TimePoint now);

    SharedState& m_shared;
    admission::Admission m_admission;
    tbb::concurrent_hash_map<routing::RequestId, Pending> m_pending;
    std::mutex m_refreshMutex;
    std::shared_ptr<const table::Table> m_table;
    std::shared_ptr<const catalog::Catalog> m_catalog;
    std::mutex m_timersMutex;
    std::vector<std::string> m_timerServices; /**< By number of the queue timer. */
    std::mutex m_exchangeMutex;
    base::TimePoint m_lastExchange {};
    uint64_t m_demandSequence { 0 };
    std::map<std::string, uint64_t, std::less<>> m_peerSequences; /**< Newest demand report of each host. */
};

/** Returns the requests of the service that its usable upstreams can run at the same time. */
double slotsOf(const catalog::Catalog&, const catalog::Service&, routing::UpstreamTable&);

}
