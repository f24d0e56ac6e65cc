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
 * \brief One column of the table with the upstream capacity behind it.
 */
struct ServiceGrants {
    std::string service;
    double slots { 1 }; /**< Requests that the usable upstreams run at the same time. */
    std::map<std::string, AccountGrant, std::less<>> accounts;
};

/** \class Admission
 * \brief Queues, shares and limits of all services at one host. Safe for use by several threads.
 */
class Admission {
public:
    Admission(std::string host, const AdmissionSettings&, const QuotaSettings&);

    /** Takes the table in force; requests that wait without a grant now are refused. */
    AdmissionStep setGrants(std::span<const ServiceGrants>, base::TimePoint now);

    /** Takes the slots of the usable upstreams of a service. */
    void setSlots(std::string_view service, double slots);

    /** Takes the number of hosts that serve the same services. Until they have reported, each counts on an even part.
     */
    void setHosts(size_t hosts) { m_servingHosts.store(hosts); }

    /** Admits, queues or refuses a request. A refused one has not run. */
    AdmissionStep submit(std::string_view account, std::string_view service, const QueuedRequest&, base::TimePoint now);

    /** Takes back an admitted request that has ended; \a runTime is the time since its admission. */
    AdmissionStep release(
        std::string_view service, base::Duration serviceTime, base::Duration runTime, base::TimePoint now);

    /** Removes a request from its queue; returns false if it is not queued. */
    bool remove(std::string_view account, std::string_view service, routing::RequestId);

    AdmissionStep dispatch(std::string_view service, base::TimePoint now);

    /** Refuses requests that waited until their deadline, in all services. */
    AdmissionStep expireQueued(base::TimePoint now);

    /** Returns this host's demand reports and takes them into its own view of the fleet. */
    std::vector<DemandReport> takeReports(base::TimePoint now);

    /** Takes the demand reports of another host. */
    void applyPeerReports(std::string_view peer, std::span<const DemandReport>, base::TimePoint now);

    /** Computes this host's rates from the demand of the fleet and dispatches what they allow. */
    AdmissionStep setAllocations(base::TimePoint now);

    /** Returns the leases to send to \a peer in reply to its reports. */
    std::vector<QuotaLease> lend(std::string_view peer, uint64_t heartbeat, base::TimePoint now);

    QuotaLedger& quotas() { return m_quotas; }

    /** Returns the requests per second that \a account is granted of a service over the fleet; 0 if unknown. */
    double granted(std::string_view account, std::string_view service) const;

    /** Returns the fleet's requests per second for a service; 0 while no service time is known. */
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

    std::shared_ptr<ServiceState> find(std::string_view service) const;
    std::vector<std::pair<std::string, std::shared_ptr<ServiceState>>> all() const;
    TakeQuota quotaOf(std::string_view service, base::TimePoint now);
    void allocateService(ServiceState&) const;

    std::string m_host;
    AdmissionSettings m_settings;
    QuotaLedger m_quotas;
    std::atomic<size_t> m_servingHosts { 1 };
    mutable std::shared_mutex m_servicesMutex;
    std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> m_services;
    std::map<std::string, bool, std::less<>> m_accounts; /**< All rows of the table. */
    std::mutex m_demandMutex;
    std::map<std::string, std::vector<DemandReport>, std::less<>> m_demand; /**< Last reports by host. */
};

}
