#pragma once

#include "papayabend/engine/Action.h"
#include "papayabend/engine/AdmissionPath.h"
#include "papayabend/engine/ControlPath.h"
#include "papayabend/engine/EntryPath.h"
#include "papayabend/engine/ExecutionPath.h"
#include "papayabend/engine/QuarantineExchange.h"
#include "papayabend/engine/ReportPath.h"
#include "papayabend/engine/SearchPath.h"
#include "papayabend/engine/SharedState.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace papayabend::engine {

/** \struct EngineSettings
 * \brief Settings that are fixed when the process starts.
 */
struct EngineSettings {
    admission::AdmissionSettings admission;
    admission::QuotaSettings quotas;
    execution::TicketSettings tickets;
    entry::EntrySettings entry;
    StopSettings stop;
};

/** A ticket with its validity, or the reason why none was issued. */
using TicketReply = std::variant<execution::IssuedTicket, base::Refusal>;

/** \class Engine
 * \brief Decision logic of one host: handles events and returns the actions to perform.
 *
 * Performs no I/O and reads no clock; the current time is passed with each event. Thread-safe; events of one request
 * are handled one at a time.
 */
class Engine {
public:
    /** With the same \a seed, all random choices are the same. */
    explicit Engine(uint64_t seed, membership::HostIdentity identity = {}, const EngineSettings& settings = {});

    /** Replaces the routing settings. Must be called before the first request. */
    void configureRouting(routing::RoutingSettings);

    /** Returns a new request number. */
    routing::RequestId nextRequest();

    Actions submitSearch(query::SearchRequest, base::TimePoint now);
    TicketReply issueTicket(std::string_view account, std::string_view service, base::TimePoint now);
    /** Starts a non-idempotent request, or answers a query for the outcome of one. */
    Actions submitExecution(execution::ExecutionRequest, base::TimePoint now);
    /** Handles the reply to a ForwardExecution action: a refusal with OutcomeUnknown if the host was not reached. */
    Actions forwardFinished(routing::RequestId, execution::ForwardReply, base::TimePoint now);
    Actions attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    Actions timerExpired(routing::RequestId, base::TimePoint now);

    /** Handles a value read from the platform. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);
    /** Handles a host list read from the platform. */
    Actions hostListPublished(std::string_view text, base::TimePoint now);
    /** Handles the end of a read. Called after valuePublished() or hostListPublished() if the read returned a value. */
    Actions platformReadEnded(std::string_view key, ReadStatus, base::TimePoint now);
    Actions peerMessage(const PeerMessage&, base::TimePoint now);
    /** Starts a planned stop: withdraw, drain, hand over, stop. tick() advances it; stage() returns its progress. */
    Actions beginStop(base::TimePoint now);
    membership::Lifecycle stage() const { return m_entry.stage(); }
    /** Ranks the hosts for a caller, and finds another host for a caller that should not use this one. */
    EntryPath& entry() { return m_entry; }
    /** Called every 100 ms. */
    Actions tick(base::TimePoint now);

    /** Returns whether the host may serve and, if not, the reason. */
    Readiness readiness(base::TimePoint now) const { return m_control.readiness(now); }
    std::shared_ptr<const catalog::Catalog> catalog() const { return m_shared.catalog.load(); }
    std::shared_ptr<const table::Table> table() const { return m_shared.table.load(); }
    std::shared_ptr<const membership::HostView> hostView() const { return m_shared.hostView.load(); }
    const membership::HostIdentity& identity() const { return m_shared.identity; }
    /** Returns the error-budget burn of the requests that callers sent to this host. */
    report::Report report(base::TimePoint now);
    admission::Admission& admission() { return m_admission.admission(); }
    routing::UpstreamTable& upstreams() { return m_shared.upstreams; }
    const execution::TicketRegistry& tickets() const { return m_executions.ticketRegistry(); }

private:
    // Releases the admission of searches that the actions answer or refuse.
    Actions releaseEnded(Actions, base::TimePoint now);
    Actions releaseEnded(ExecutionStep, base::TimePoint now);
    Actions releaseAdmission(std::span<const routing::RequestId> ended, base::TimePoint now);
    // Starts the admitted requests and answers the refused ones.
    Actions applyDecisions(AdmissionDecisions, base::TimePoint now);

    SharedState m_shared;
    SearchPath m_searches;
    ExecutionPath m_executions;
    AdmissionPath m_admission;
    EntryPath m_entry;
    ControlPath m_control;
    QuarantineExchange m_quarantine;
    ReportPath m_report;
    std::atomic<routing::RequestId> m_lastRequest { 0 };
};

}
