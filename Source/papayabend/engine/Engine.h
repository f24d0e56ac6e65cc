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

/** A ticket with the time for which it can be used, or the reason for which none was issued. */
using TicketReply = std::variant<execution::IssuedTicket, base::Refusal>;

/** \class Engine
 * \brief Decisions of one host: takes events with the present time and returns the actions to perform.
 *
 * Has no I/O and reads no clock. Every member may be called from several threads at once; events of one
 * request are handled one at a time.
 */
class Engine {
public:
    /** \a seed makes all random choices repeatable. */
    explicit Engine(uint64_t seed, membership::HostIdentity identity = {}, const EngineSettings& settings = {});

    /** Replaces the routing settings; called before the first request. */
    void configureRouting(routing::RoutingSettings);

    /** Returns a new request number. */
    routing::RequestId nextRequest();

    Actions submitSearch(query::SearchRequest, base::TimePoint now);
    TicketReply issueTicket(std::string_view account, std::string_view service, base::TimePoint now);
    /** Starts a non-idempotent request, or answers the question for the outcome of one. */
    Actions submitExecution(execution::ExecutionRequest, base::TimePoint now);
    /** Takes the reply to ForwardExecution. If the host could not be asked, it is a refusal with OutcomeUnknown. */
    Actions forwardFinished(routing::RequestId, execution::ForwardReply, base::TimePoint now);
    Actions attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    Actions timerExpired(routing::RequestId, base::TimePoint now);

    /** Takes a value read from the platform. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);
    /** Takes a host list read from the platform. */
    Actions hostListPublished(std::string_view text, base::TimePoint now);
    /** Reports that a read ended; called after the value, if there is one, has been passed on. */
    Actions platformReadEnded(std::string_view key, ReadStatus, base::TimePoint now);
    Actions peerMessage(const PeerMessage&, base::TimePoint now);
    /** Starts a planned stop: withdraw, drain, hand over, stop. tick() leads it on; stage() tells its end. */
    Actions beginStop(base::TimePoint now);
    membership::Lifecycle stage() const { return m_entry.stage(); }
    /** Hosts that callers should use, and the address of another host for a caller that should not use this one. */
    EntryPath& entry() { return m_entry; }
    /** Called every 100 ms. */
    Actions tick(base::TimePoint now);

    /** Returns whether the host may serve and, if not, why. */
    Readiness readiness(base::TimePoint now) const { return m_control.readiness(now); }
    std::shared_ptr<const catalog::Catalog> catalog() const { return m_shared.catalog.load(); }
    std::shared_ptr<const table::Table> table() const { return m_shared.table.load(); }
    std::shared_ptr<const membership::HostView> hostView() const { return m_shared.hostView.load(); }
    const membership::HostIdentity& identity() const { return m_shared.identity; }
    /** Returns the service-level burn of the requests that callers sent to this host. */
    report::Report report(base::TimePoint now);
    admission::Admission& admission() { return m_admission.admission(); }
    routing::UpstreamTable& upstreams() { return m_shared.upstreams; }
    const execution::TicketRegistry& tickets() const { return m_executions.ticketRegistry(); }

private:
    Actions performSearch(Actions, base::TimePoint now);
    Actions perform(ExecutionStep, base::TimePoint now);
    Actions perform(PassedRequests, base::TimePoint now);
    Actions endedRequests(std::span<const routing::RequestId>, base::TimePoint now);

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
