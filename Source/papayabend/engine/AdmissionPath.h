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

/** \struct AdmissionDecisions
 * \brief Requests that an event admitted or refused, and the actions to perform.
 */
struct AdmissionDecisions {
    std::vector<query::SearchRequest> admittedSearches;
    std::vector<routing::RequestId> admittedExecutions;
    std::vector<admission::RefusedRequest> refusedSearches;
    std::vector<admission::RefusedRequest> refusedExecutions;
    Actions actions;
};

/** \class AdmissionPath
 * \brief Admits the requests of the host and exchanges demand reports and quota leases with peers. Thread-safe.
 */
class AdmissionPath {
public:
    AdmissionPath(SharedState&, const admission::AdmissionSettings&, const admission::QuotaSettings&);

    AdmissionDecisions submitSearch(query::SearchRequest, base::TimePoint now);
    AdmissionDecisions submitExecution(
        routing::RequestId, std::string account, std::string service, base::TimePoint deadline, base::TimePoint now);

    /** Releases the slot of an admitted request that has ended, or removes a waiting request from its queue. */
    AdmissionDecisions requestEnded(routing::RequestId, base::TimePoint now);

    /** Records the service time that an upstream reported. */
    void attemptFinished(const routing::AttemptResult&);

    /** Returns whether the number denotes the timer of a queue instead of a request. */
    static bool isQueueTimer(routing::RequestId id) { return (id & queueTimerFlag) != 0; }
    AdmissionDecisions queueTimerExpired(routing::RequestId, base::TimePoint now);

    AdmissionDecisions peerMessage(const PeerMessage&, base::TimePoint now);
    AdmissionDecisions tick(base::TimePoint now);

    /** Applies the table and catalogue in force if they have changed since the last call. */
    AdmissionDecisions refresh(base::TimePoint now);

    /** Returns the number of requests that wait or run. */
    size_t openRequests() const { return m_openRequests.size(); }
    admission::Admission& admission() { return m_admission; }

private:
    struct OpenRequest {
        std::string account;
        std::string service;
        std::optional<query::SearchRequest> search;
        bool isAdmitted { false };
        base::TimePoint admittedAt {};
        base::Duration serviceTimeSum {};
        int64_t serviceTimeCount { 0 };
    };
    // Set in the timer numbers of queues; request numbers stay below it.
    static constexpr routing::RequestId queueTimerFlag = routing::RequestId { 1 } << 47U;

    AdmissionDecisions submit(routing::RequestId, OpenRequest, base::TimePoint deadline, base::TimePoint now);
    AdmissionDecisions applyStep(admission::AdmissionStep&&, base::TimePoint now);
    std::vector<admission::ServiceGrants> makeGrants() const;
    Actions exchangeDemand(base::TimePoint now);

    SharedState& m_shared;
    admission::Admission m_admission;
    tbb::concurrent_hash_map<routing::RequestId, OpenRequest> m_openRequests;
    std::mutex m_refreshMutex;
    std::shared_ptr<const table::Table> m_table;
    std::shared_ptr<const catalog::Catalog> m_catalog;
    std::mutex m_queueTimersMutex;
    std::vector<std::string> m_queueTimerServices; /**< By number of the queue timer, without queueTimerFlag. */
    std::mutex m_exchangeMutex;
    base::TimePoint m_lastExchange {};
    uint64_t m_demandSequence { 0 };
    std::map<std::string, uint64_t, std::less<>>
        m_peerSequences; /**< Number of the last demand report from each host. */
};

/** Returns how many requests of the service its usable upstreams can run at the same time. */
double usableSlots(const catalog::Catalog&, const catalog::Service&, routing::UpstreamTable&);

}
