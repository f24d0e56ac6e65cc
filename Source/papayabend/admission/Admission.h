#pragma once

#include "papayabend/admission/FairQueue.h"
#include "papayabend/admission/QuotaLedger.h"
#include "papayabend/admission/Shares.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::admission {

/** \struct ServiceGrants
 * \brief Grants of one service, a column of the table, and the capacity of its upstreams.
 */
struct ServiceGrants {
    std::string service;
    double slots { 1 }; /**< Requests that the usable upstreams can run concurrently. */
    std::map<std::string, AccountGrant, std::less<>> accounts;
};

/** \class Admission
 * \brief Admits, queues or refuses requests by the shares and limits of all services at one host. Safe for use by
 * several threads.
 */
class Admission {
public:
    Admission(std::string host, const AdmissionSettings&, const QuotaSettings&);

    /** Applies the grants of the table in force; refuses queued requests whose account no longer has a grant. */
    AdmissionStep setGrants(std::span<const ServiceGrants>, base::TimePoint now);

    /** Sets the number of requests that the usable upstreams of a service can run concurrently. */
    void setSlots(std::string_view service, double slots);

    /** Sets the number of hosts that serve the same services. Capacity that is divided evenly is divided among all of
     * them, including hosts that have not reported demand yet.
     */
    void setHosts(size_t hosts) { m_servingHosts.store(hosts); }

    /** Admits, queues or refuses a request. A refused request has not run. */
    AdmissionStep submit(std::string_view account, std::string_view service, const QueuedRequest&, base::TimePoint now);

    /** Ends an admitted request and dispatches queued ones. \a serviceTime is the time that the upstreams reported,
     * \a runTime the time since the request's admission; zero: not measured.
     */
    AdmissionStep release(
        std::string_view service, base::Duration serviceTime, base::Duration runTime, base::TimePoint now);

    /** Removes a request from its queue. Returns false if it is not queued. */
    bool remove(std::string_view account, std::string_view service, routing::RequestId);

    /** Admits as many queued requests of a service as its window, rates and limits allow. */
    AdmissionStep dispatch(std::string_view service, base::TimePoint now);

    /** For each service: refuses the queued requests whose deadline has passed, then calls dispatch(). */
    AdmissionStep expireQueued(base::TimePoint now);

    /** Returns this host's demand since the last call and adds it to the demand of the fleet. */
    std::vector<DemandReport> takeReports(base::TimePoint now);

    /** Replaces the demand reports of another host. */
    void applyPeerReports(std::string_view peer, std::span<const DemandReport>, base::TimePoint now);

    /** Computes this host's rates from the demand of the fleet and dispatches the requests that they allow. */
    AdmissionStep setAllocations(base::TimePoint now);

    /** Returns the leases to send to \a peer in answer to its demand report with the number \a reportSequence. */
    std::vector<QuotaLease> lend(std::string_view peer, uint64_t reportSequence, base::TimePoint now);

    QuotaLedger& quotas() { return m_quotas; }

    /** Returns the requests per second of a service that \a account is granted at all hosts together; 0 if unknown. */
    double granted(std::string_view account, std::string_view service) const;

    /** Returns the requests per second that all hosts together may admit for a service; 0 while no service time is
     * known.
     */
    double capacity(std::string_view service) const;

private:
    struct ServiceState {
        mutable std::mutex mutex;
        FairQueue queue;
        FleetDemand fleet;
        double slots { 1 };
        double capacity { 0 };
        std::map<std::string, double, std::less<>> granted;
    };

    std::shared_ptr<ServiceState> findService(std::string_view service) const;
    std::vector<std::pair<std::string, std::shared_ptr<ServiceState>>> allServices() const;
    ConsumeQuota quotaConsumer(std::string_view service, base::TimePoint now);
    void allocateService(ServiceState&) const;

    std::string m_host;
    AdmissionSettings m_settings;
    QuotaLedger m_quotas;
    std::atomic<size_t> m_servingHosts { 1 };
    mutable std::shared_mutex m_servicesMutex;
    std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> m_services;
    std::map<std::string, bool, std::less<>> m_accounts; /**< With a grant of any service. */
    std::mutex m_demandMutex;
    std::map<std::string, std::vector<DemandReport>, std::less<>> m_latestReports; /**< By host. */
};

}
