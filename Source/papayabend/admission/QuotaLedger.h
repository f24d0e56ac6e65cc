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
 * \brief Validity of leases, margins for pauses and clock rates, and the window in which a limit holds.
 */
struct QuotaSettings {
    /** A borrower may use a lease for this time after it sent the demand report that the lease answers. */
    base::Duration leaseTime { std::chrono::seconds(2) };
    /** The lender reserves a lent rate for this time longer than the borrower may use it. It covers a pause of one
     * second that the borrower's process does not notice, with a margin.
     */
    base::Duration pauseMargin { std::chrono::milliseconds(1500) };
    /** Largest relative difference between the rates of two hosts' clocks. */
    double clockRateMargin { 0.01 };
    /** A host that is no longer listed keeps its portion for this time. */
    base::Duration holdTime { std::chrono::seconds(60) };
    /** No window of this length contains more requests than the limit allows. */
    base::Duration window { std::chrono::seconds(10) };
};

/** \class QuotaLedger
 * \brief This host's portions of all limits, and the rates that it lends and borrows. Safe for use by several threads.
 *
 * A portion is limit / members. Each host may use its portion, less the rates that it lends and plus the rates that it
 * borrows, so that the rates of all hosts never sum up to more than the limit. Unreachable hosts remain members. A new
 * host may not use its portion until every other member has announced that it counts the new host as a member.
 */
class QuotaLedger {
public:
    using Key = std::pair<std::string, std::string>; /**< Client account and service. */

    QuotaLedger(std::string host, const QuotaSettings&);

    /** Replaces the limits by those of the table in force, in requests per second at all hosts together. */
    void setLimits(const std::map<Key, double>&, base::TimePoint now);

    /** Updates the members from the listed hosts; \a hosts includes this host if it is listed. */
    void setListed(std::span<const std::string> hosts, base::TimePoint now);

    /** Records a peer's announcement whether it counts this host as a member. */
    void announcementReceived(std::string_view peer, bool countsThisHost, base::TimePoint now);

    /** Returns whether to announce to \a peer that it is counted as a member. It is once no lease exceeds the portion
     * that the new member leaves to this host.
     */
    bool countsPeer(std::string_view peer, base::TimePoint now) const;

    /** Counts one request against the limit. Returns zero, or the time until the next request is allowed. */
    base::Duration consume(std::string_view account, std::string_view service, base::TimePoint now);

    /** Records the time at which a demand report was sent. Leases that answer it are valid from then on. */
    void reportSent(uint64_t reportSequence, base::TimePoint now);

    /** Lends \a borrower rates that this host does not need, in answer to the demand report with the number
     * \a reportSequence. \a demand holds the latest reports of all hosts.
     */
    std::vector<QuotaLease> lend(std::string_view borrower, uint64_t reportSequence,
        const std::map<std::string, std::vector<DemandReport>, std::less<>>& demand, base::TimePoint now);

    /** Stores the leases that a lender sent to this host; ignores those that have ended. */
    void receive(std::span<const QuotaLease>, base::TimePoint now);

    /** Returns the requests per second that this host may admit now. */
    double rate(std::string_view account, std::string_view service, base::TimePoint now) const;

    /** Returns whether all other members have counted this host, so that it may use its portions. */
    bool isEstablished() const;

private:
    struct Member {
        base::TimePoint addedAt {};
        bool isListed { true };
        base::TimePoint unlistedAt {};
        bool countsThisHost { false };
        std::optional<base::TimePoint> lastAnnouncement;
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
        base::TimePoint refilledAt {};
        std::map<std::string, std::deque<Lent>, std::less<>> lent; /**< By borrower. */
        std::map<std::string, Borrowed, std::less<>> borrowed; /**< By lender. */
    };
    void updateEstablished(base::TimePoint now);
    /** Time for which the lender reserves a lent rate. */
    base::Duration reservationTime() const;
    bool mayUsePortion(base::TimePoint now) const;
    double portion(double limit, base::TimePoint now) const;
    /** Returns the rate that is lent to all borrowers except \a exceptBorrower; to all of them if it is empty. */
    static double lentRate(const Quota&, base::TimePoint now, std::string_view exceptBorrower);
    double usableRate(const Quota&, base::TimePoint now) const;
    void refill(Quota&, base::TimePoint now) const;

    std::string m_host;
    QuotaSettings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, Member, std::less<>> m_members; /**< Other hosts. */
    bool m_isEstablished { false };
    bool m_isListed { false };
    base::TimePoint m_lastListedAt {};
    std::optional<base::TimePoint> m_firstListedAt;
    std::map<Key, Quota> m_quotas;
    std::deque<std::pair<uint64_t, base::TimePoint>> m_sentReports; /**< Sequence number and send time. */
    uint64_t m_lastLeaseId { 0 };
};

}
