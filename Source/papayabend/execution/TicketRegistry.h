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
 * \brief Life of tickets and bounds of the memory that their records take.
 */
struct TicketSettings {
    base::Duration validity { std::chrono::seconds(60) }; /**< From issue to the latest first use. */
    base::Duration retention { std::chrono::minutes(10) }; /**< From the end to the removal of the record. */
    size_t maxRecords { 400'000 };
    size_t maxAnswerBytes { 256U << 20U }; /**< Bytes of all stored answers; above it no ticket is issued. */
};

/** \enum BeginKind
 * \brief What the host has to do with a request that names a ticket.
 */
enum class BeginKind : uint8_t {
    Start, /**< The request holds the ticket now and may be sent once markSent() agrees. */
    Wait, /**< Another request with the same ticket runs; its outcome is delivered to both. */
    Outcome, /**< The ticket is finished or closed; the record tells the outcome. */
    Refuse,
    Elsewhere, /**< Only another process may start or answer the request. */
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

/** Requests that get the outcome of another one with the same ticket. */
using Waiting = std::vector<routing::RequestId>;

/** \struct Settlement
 * \brief Outcome of a ticket with the requests that wait for it.
 */
struct Settlement {
    bool isNew { false }; /**< False if the ticket had an outcome before, or an open attempt forbids this one. */
    TicketRecord record;
    Waiting waiting;
};

/** \class TicketRegistry
 * \brief Tickets that this process issued and outcomes that stopped processes handed over.
 *
 * States only advance. A ticket is sent again only after an attempt that ended with NotRun. Each answer "not
 * run" closes its ticket, so that a delayed copy of the request cannot run after it. All members are safe for
 * use by several threads; records are spread over stripes with one mutex each.
 */
class TicketRegistry {
public:
    TicketRegistry(std::string host, uint64_t incarnation, const TicketSettings&);

    /** Issues a ticket, or returns none if the memory bounds are reached or the registry is frozen. */
    std::optional<TicketId> issueTicket(std::string_view account, std::string_view service, base::TimePoint now);

    BeginResult beginExecution(const BeginRequest&, base::TimePoint now);

    /** Records that an attempt leaves now. Returns false if the attempt must not be sent. */
    bool markSent(const TicketId&);

    /** Takes the end of the attempt that markSent() allowed; after NotRun the ticket may be sent again. */
    void attemptFinished(const TicketId&, base::Verdict);

    /** Ends a ticket. NotRun is accepted only while no attempt is open or may have run. */
    Settlement settle(const TicketId&, base::Verdict, base::RefusalCode, std::string body, base::TimePoint now);

    /** Forgets a request that waits for the outcome of another one. */
    void stopWaiting(const TicketId&, routing::RequestId);

    /** Returns the record of a ticket, issued here or handed over; none if it is not known. */
    std::optional<TicketRecord> find(const TicketId&) const;

    /** Closes unused tickets after their validity and removes records after the retention time. */
    void expire(base::TimePoint now);

    /** Issues no more tickets. */
    void freeze() { m_isFrozen.store(true); }

    /** Freezes the registry, closes all tickets that were not sent, also held ones, and returns all records. */
    std::vector<TicketRecord> exportRecords(base::TimePoint now);

    /** Takes the records of a stopped process. An open request of it counts as one that may have run. */
    void importRecords(std::span<const TicketRecord>, base::TimePoint now);

    /** Tickets whose request is queued or running. */
    size_t openRequests() const { return m_openRequests.load(); }
    size_t records() const { return m_records.load(); }
    bool isOwn(const TicketId& id) const { return id.host == m_host && id.incarnation == m_incarnation; }

private:
    struct Entry {
        TicketRecord record;
        base::TimePoint validUntil;
        bool isHeld { false }; /**< A request holds the ticket; it is queued or running. */
        bool isAttemptOpen { false };
        Waiting waiting;
    };
    using Deadlines = std::deque<std::pair<base::TimePoint, uint64_t>>;
    struct Stripe {
        mutable std::mutex mutex;
        std::unordered_map<uint64_t, Entry> entries;
        Deadlines validity; /**< In the order of issue. */
        Deadlines retention; /**< In the order of end. */
    };
    struct Imported {
        TicketRecord record;
        base::TimePoint until;
    };
    static constexpr size_t stripeCount = 64;

    Stripe& stripe(const TicketId& id) { return m_stripes[id.sequence % stripeCount]; }
    const Stripe& stripe(const TicketId& id) const { return m_stripes[id.sequence % stripeCount]; }
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
