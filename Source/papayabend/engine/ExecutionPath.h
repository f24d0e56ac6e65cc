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
 * \brief What has to be done after an event of a non-idempotent request.
 */
struct ExecutionStep {
    Actions actions;
    bool wantsAdmission { false }; /**< The request has to pass the admission queue before it is sent. */
    std::vector<routing::RequestId> ended; /**< Requests that no longer need the upstream budget. */
};

/** \class ExecutionPath
 * \brief Non-idempotent requests of the host. Safe for use by several threads.
 */
class ExecutionPath {
public:
    ExecutionPath(SharedState&, const execution::TicketSettings&);

    const execution::TicketRegistry& ticketRegistry() const { return m_ticketRegistry; }

    /** Issues a ticket to an account that the table grants the service. */
    std::variant<execution::IssuedTicket, base::Refusal> issueTicket(
        std::string_view account, std::string_view service, base::TimePoint now);

    ExecutionStep start(execution::ExecutionRequest, base::TimePoint now);

    /** The admission queue let the request pass. */
    ExecutionStep admitted(routing::RequestId, base::TimePoint now);

    /** The admission queue refused the request; it has not been sent. */
    ExecutionStep refused(routing::RequestId, const base::Refusal&, base::TimePoint now);

    ExecutionStep attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    ExecutionStep timerExpired(routing::RequestId, base::TimePoint now);

    /** Takes the reply of the host that a request was forwarded to. */
    ExecutionStep forwardFinished(routing::RequestId, execution::ForwardReply, base::TimePoint now);

    void expire(base::TimePoint now) { m_ticketRegistry.expire(now); }

    /** Issues no more tickets and passes the records to the successors. Call it when open() is 0. */
    void beginHandOver(base::TimePoint now);

    /** Returns the messages of the hand-over that are due. */
    Actions handOver(base::TimePoint now);
    bool isHandedOver(base::TimePoint now);

    /** Takes records of a stopping host, or another host's acknowledgement. */
    Actions peerMessage(const PeerMessage&, base::TimePoint now);

    /** Requests that wait or run. */
    size_t open() const { return m_requests.size(); }

private:
    enum class Phase : uint8_t { Queued, InFlight, WaitsForOther, Forwarded };
    struct Running {
        execution::ExecutionRequest request;
        execution::TicketId ticket;
        Phase phase { Phase::Queued };
        bool isCallerAnswered { false };
        base::Random random;
        routing::AttemptId lastAttempt { 0 };
        routing::AttemptId openAttempt { 0 };
        std::vector<catalog::UpstreamId> tried;
        std::vector<std::string> forwardTargets; /**< Still to be asked, the next one last. */
    };
    using Requests = tbb::concurrent_hash_map<routing::RequestId, std::shared_ptr<Running>>;

    ExecutionStep answerQuery(const execution::ExecutionRequest&, const execution::TicketId&);
    ExecutionStep forward(execution::ExecutionRequest, const execution::TicketId&);
    /** Names the hosts that may know a ticket of another process, the most likely one first. */
    std::vector<std::string> locate(const execution::TicketId&) const;
    bool forwardNext(Running&, Actions&);
    bool send(Running&, base::TimePoint now, Actions&);
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
