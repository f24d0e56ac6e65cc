#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/execution/TicketRecord.h"
#include "papayabend/routing/Attempt.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace papayabend::execution {

/** \struct TicketSettings
 * \brief Lifetimes of tickets and their records, and bounds of the memory that the records use.
 */
struct TicketSettings {
    base::Duration validity { std::chrono::seconds(60) }; /**< Time from issue to the latest first use. */
    /** Time from the end of a ticket to the removal of its record. */
    base::Duration retention { std::chrono::minutes(10) };
    size_t maxRecords { 400'000 };
    size_t maxAnswerBytes { 256U << 20U }; /**< Of all stored answers together; above it no ticket is issued. */
};

/** \enum BeginKind
 * \brief How the host has to handle a request with a ticket.
 */
enum class BeginKind : uint8_t {
    Start, /**< The ticket is now in use by the request, which may be sent when markSent() has returned true. */
    Wait, /**< Another request with the same ticket is queued or running; both get its outcome. */
    Outcome, /**< The ticket is finished or closed; the record contains the outcome. */
    Refuse,
    Elsewhere, /**< Another process issued the ticket; only another process may start or answer the request. */
};

/** \struct BeginRequest
 * \brief A caller's request to run under a ticket.
 */
struct BeginRequest {
    TicketId ticket;
    routing::RequestId request { 0 };
    std::string_view account;
    std::string_view service;
    uint64_t fingerprint { 0 }; /**< Hash of the body, not 0. */
};

/** \struct BeginResult
 * \brief Decision on a BeginRequest.
 */
struct BeginResult {
    BeginKind kind { BeginKind::Refuse };
    TicketRecord record; /**< Set for Outcome. */
    base::Refusal refusal; /**< Set for Refuse. */
};

/** Requests that wait for the outcome of another request with the same ticket. */
using WaitingRequests = std::vector<routing::RequestId>;

/** \struct Settlement
 * \brief Outcome of a ticket, and the requests that waited for it.
 */
struct Settlement {
    bool isAccepted { false }; /**< False if the ticket already had an outcome or an attempt contradicts this one. */
    TicketRecord record;
    WaitingRequests waiting;
};

/** \class TicketRegistry
 * \brief Tickets that this process issued and outcomes that stopped processes handed over.
 *
 * States only advance. The request of a ticket is sent again only after an attempt that ended with NotRun. Every answer
 * "not run" closes its ticket, so that a delayed copy of the request cannot run later. All members are safe for use by
 * several threads; the records are distributed over stripes with one mutex each.
 */
class TicketRegistry {
public:
    TicketRegistry(std::string host, uint64_t incarnation, const TicketSettings&);

    /** Issues a ticket, or returns none if a memory bound is reached or freeze() has been called. */
    std::optional<TicketId> issueTicket(std::string_view account, std::string_view service, base::TimePoint now);

    /** Decides how to handle a request with a ticket. */
    BeginResult beginExecution(const BeginRequest&, base::TimePoint now);

    /** Records that an attempt is about to be sent. Returns false if it must not be sent. */
    bool markSent(const TicketId&);

    /** Records the verdict of the attempt that markSent() allowed; after NotRun another attempt may be sent. */
    void attemptFinished(const TicketId&, base::Verdict);

    /** Ends a ticket with an outcome. NotRun is accepted only if no attempt is open or may have run. */
    Settlement settle(const TicketId&, base::Verdict, base::RefusalCode, std::string body, base::TimePoint now);

    /** Removes a request that waits for the outcome of another one. */
    void stopWaiting(const TicketId&, routing::RequestId);

    /** Returns the record of a ticket that was issued by this process or handed over to it; std::nullopt if it has no
     * such record.
     */
    std::optional<TicketRecord> find(const TicketId&) const;

    /** Closes unused tickets after their validity and removes records after the retention time. */
    void expire(base::TimePoint now);

    /** Stops issuing tickets. */
    void freeze() { m_isFrozen.store(true); }

    /** Stops issuing tickets, closes all tickets whose request was not sent, even if it is queued, and returns all
     * records.
     */
    std::vector<TicketRecord> exportRecords(base::TimePoint now);

    /** Stores the records of a stopped process. A request that was sent and has no outcome may have run. */
    void importRecords(std::span<const TicketRecord>, base::TimePoint now);

    /** Returns the number of tickets whose request is queued or running. */
    size_t openRequests() const { return m_openRequests.load(); }
    size_t records() const { return m_records.load(); }
    bool isOwn(const TicketId& id) const { return id.host == m_host && id.incarnation == m_incarnation; }

private:
    struct Entry {
        TicketRecord record;
        base::TimePoint validUntil;
        bool hasOpenRequest { false }; /**< A request with the ticket is queued or running. */
        bool isAttemptOpen { false };
        WaitingRequests waiting;
    };
    using Deadlines = std::deque<std::pair<base::TimePoint, uint64_t>>;
    struct Stripe {
        mutable std::mutex mutex;
        std::unordered_map<uint64_t, Entry> entries;
        Deadlines validityDeadlines; /**< In the order of issue. */
        Deadlines retentionDeadlines; /**< In the order in which the tickets ended. */
    };
    struct Imported {
        TicketRecord record;
        base::TimePoint keepUntil;
    };
    static constexpr size_t stripeCount = 64;

    Stripe& stripeOf(const TicketId& id) { return m_stripes[id.sequence % stripeCount]; }
    const Stripe& stripeOf(const TicketId& id) const { return m_stripes[id.sequence % stripeCount]; }
    BeginResult beginOwn(const BeginRequest&, base::TimePoint now);
    BeginResult beginImported(const BeginRequest&) const;
    void close(Stripe&, Entry&, base::Verdict, base::RefusalCode, TicketState, base::TimePoint now);
    std::optional<TicketRecord> findImported(const TicketId&) const;

    std::string m_host;
    uint64_t m_incarnation;
    TicketSettings m_settings;
    std::atomic<uint64_t> m_lastSequence { 0 };
    std::atomic<size_t> m_records { 0 };
    std::atomic<size_t> m_answerBytes { 0 };
    std::atomic<size_t> m_openRequests { 0 };
    std::atomic<bool> m_isFrozen { false };
    std::array<Stripe, stripeCount> m_stripes;
    mutable std::mutex m_importedMutex;
    std::unordered_map<std::string, Imported> m_imported;
    std::deque<std::pair<base::TimePoint, std::string>> m_importedDeadlines;
};

}
