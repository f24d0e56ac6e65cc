#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/execution/HandOver.h"
#include "papayabend/execution/TicketRegistry.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tbb/concurrent_hash_map.h>
#include <variant>
#include <vector>

namespace papayabend::engine {

/** \struct ExecutionStep
 * \brief Operations to perform after an event of a non-idempotent request.
 */
struct ExecutionStep {
    Actions actions;
    bool needsAdmission { false }; /**< The request must be admitted before it is sent. */
    std::vector<routing::RequestId> toRelease; /**< Requests whose admission is to be toRelease. */
};

/** \class ExecutionPath
 * \brief Runs the non-idempotent requests of the host. Thread-safe.
 */
class ExecutionPath {
public:
    ExecutionPath(SharedState&, const execution::TicketSettings&);

    const execution::TicketRegistry& ticketRegistry() const { return m_ticketRegistry; }

    /** Issues a ticket if the table grants the account the service; otherwise returns a refusal. */
    std::variant<execution::IssuedTicket, base::Refusal> issueTicket(
        std::string_view account, std::string_view service, base::TimePoint now);

    ExecutionStep start(execution::ExecutionRequest, base::TimePoint now);

    /** Sends a request that was admitted, or settles it if it cannot be sent. */
    ExecutionStep admitted(routing::RequestId, base::TimePoint now);

    /** Settles a request that must not be sent, as not run. The caller releases its admission. */
    ExecutionStep refused(routing::RequestId, const base::Refusal&, base::TimePoint now);

    ExecutionStep attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    ExecutionStep timerExpired(routing::RequestId, base::TimePoint now);

    /** Handles the reply of the host that a request was forwarded to. */
    ExecutionStep forwardFinished(routing::RequestId, execution::ForwardReply, base::TimePoint now);

    void expire(base::TimePoint now) { m_ticketRegistry.expire(now); }

    /** Stops issuing tickets and prepares the transfer of all ticket records to the successors. Called when
     * no request is open or the drain time has passed.
     */
    void beginHandOver(base::TimePoint now);

    /** Returns the hand-over messages that are due to be sent. */
    Actions handOver(base::TimePoint now);
    /** Returns whether the hand-over is complete. */
    bool isHandedOver(base::TimePoint now);

    /** Stores and acknowledges the ticket records of a stopping host, and handles acknowledgements. */
    Actions peerMessage(const PeerMessage&, base::TimePoint now);

    /** Returns the number of requests that wait or run. */
    size_t openRequests() const { return m_requests.size(); }

private:
    enum class Phase : uint8_t {
        Queued,
        InFlight,
        AwaitsSameTicket, /**< Another request with the same ticket runs. */
        Forwarded,
    };
    struct OpenRequest {
        execution::ExecutionRequest request;
        execution::TicketId ticket;
        Phase phase { Phase::Queued };
        bool isCallerAnswered { false };
        base::Random random;
        routing::AttemptId lastAttempt { 0 };
        routing::AttemptId openAttempt { 0 };
        std::vector<catalog::UpstreamId> tried;
        std::vector<std::string> forwardTargets; /**< Hosts still to be asked; the next one is last. */
    };
    using Requests = tbb::concurrent_hash_map<routing::RequestId, std::shared_ptr<OpenRequest>>;

    ExecutionStep answerOutcomeQuery(const execution::ExecutionRequest&, const execution::TicketId&);
    ExecutionStep forward(execution::ExecutionRequest, const execution::TicketId&);
    /** Returns the hosts that may hold the record of another process's ticket, the most likely one first. */
    std::vector<std::string> findTicketHolders(const execution::TicketId&) const;
    bool forwardNext(OpenRequest&, Actions&);
    bool send(OpenRequest&, base::TimePoint now, Actions&);
    void settle(Requests::accessor&, base::Verdict, base::RefusalCode, std::string body, base::TimePoint now,
        std::optional<base::Duration> retryAfter, ExecutionStep&);

    void reportCrash(const execution::ExecutionRequest&, catalog::UpstreamId, base::TimePoint now);

    SharedState& m_shared;
    execution::TicketRegistry m_ticketRegistry;
    base::Duration m_ticketValidity;
    Requests m_requests;
    std::mutex m_handOverMutex;
    std::optional<execution::HandOver> m_handOver;
};

}
