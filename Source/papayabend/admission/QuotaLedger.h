#pragma once

#include "papayabend/admission/Demand.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayabend::admission {

/** \struct QuotaSettings
 * \brief Times of portions and leases.
 */
struct QuotaSettings {
    /** A borrower uses a lease for this time after it sent the report that the lease answers. */
    base::Duration leaseTime { std::chrono::seconds(2) };
    /** The lender waits longer by this: a second of pause that the borrower does not notice, and some more. */
    base::Duration pauseMargin { std::chrono::milliseconds(1500) };
    /** Largest difference between the rates of two hosts' clocks. */
    double clockRateMargin { 0.01 };
    /** A host that the list dropped keeps its portion for this time. */
    base::Duration holdTime { std::chrono::seconds(60) };
    /** No window of this length contains more requests than the limit allows. */
    base::Duration window { std::chrono::seconds(10) };
};

/** \class QuotaLedger
 * \brief This host's portions of all limits, and the parts lent and borrowed. Safe for use by several threads.
 *
 * At every moment the rates that all hosts may use sum up to at most the limit: each host uses limit / members
 * less what it lent and plus what it borrowed. Unreachable hosts stay members. A new host uses no portion until
 * every other member has announced that it counts the new host.
 */
class QuotaLedger {
public:
    using Key = std::pair<std::string, std::string>; /**< Client account and service. */

    QuotaLedger(std::string host, const QuotaSettings&);

    /** Takes the limits of the table in force, in requests per second over the fleet. */
    void setLimits(const std::map<Key, double>&, base::TimePoint now);

    /** Takes the listed hosts, this one included if the list names it. */
    void setListed(std::span<const std::string> hosts, base::TimePoint now);

    /** Takes a peer's announcement whether it counts this host as a member. */
    void announcementReceived(std::string_view peer, bool countsThisHost, base::TimePoint now);

    /** Returns whether to announce to \a peer that it is counted: no lease exceeds the portion that is left. */
    bool countsPeer(std::string_view peer, base::TimePoint now) const;

    /** Takes one request from the limit; returns zero, or the time until the next one is allowed. */
    base::Duration take(std::string_view account, std::string_view service, base::TimePoint now);

    /** Remembers when the report with this heartbeat was sent; leases that answer it count from then. */
    void reportSent(uint64_t heartbeat, base::TimePoint now);

    /** Lends \a borrower what this host does not need. \a demand holds the last reports of all hosts. */
    std::vector<QuotaLease> lend(std::string_view borrower, uint64_t heartbeat,
        const std::map<std::string, std::vector<DemandReport>, std::less<>>& demand, base::TimePoint now);

    void receive(std::span<const QuotaLease>, base::TimePoint now);

    /** Returns the rate that this host may use now. */
    double rate(std::string_view account, std::string_view service, base::TimePoint now) const;

    bool isEstablished() const;

private:
    struct Member {
        base::TimePoint since {};
        bool isListed { true };
        base::TimePoint droppedAt {};
        bool countsThisHost { false };
        std::optional<base::TimePoint> heardAt;
    };
    struct Lent {
        double rate { 0 };
        base::TimePoint until;
    };
    struct Borrowed {
        uint64_t id { 0 };
        double rate { 0 };
        base::TimePoint until;
    };
    struct Quota {
        double limit { 0 };
        double tokens { 1 };
        double lastRate { 0 };
        base::TimePoint refilled {};
        std::map<std::string, std::deque<Lent>, std::less<>> lent; /**< By borrower. */
        std::map<std::string, Borrowed, std::less<>> borrowed; /**< By lender. */
    };
    void establish(base::TimePoint now);
    base::Duration lenderTime() const;
    bool mayUsePortion(base::TimePoint now) const;
    double portion(double limit, base::TimePoint now) const;
    static double lentRate(const Quota&, base::TimePoint now, std::string_view except);
    double usableRate(const Quota&, base::TimePoint now) const;
    void refill(Quota&, base::TimePoint now) const;

    std::string m_host;
    QuotaSettings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, Member, std::less<>> m_members; /**< Other hosts. */
    bool m_isEstablished { false };
    bool m_isListed { false };
    base::TimePoint m_listedAt {};
    std::optional<base::TimePoint> m_firstListedAt;
    std::map<Key, Quota> m_quotas;
    std::deque<std::pair<uint64_t, base::TimePoint>> m_reports;
    uint64_t m_lastLease { 0 };
};

}
