#include "papayabend/transport/ForwardCodec.h"

#include <algorithm>

namespace papayabend::transport {

namespace {

    using base::RefusalCode;
    using base::Verdict;

    protocol::Verdict toWire(Verdict verdict)
    {
        switch (verdict) {
        case Verdict::NotRun:
            return protocol::VERDICT_NOT_RUN;
        case Verdict::Ran:
            return protocol::VERDICT_RAN;
        case Verdict::MayHaveRun:
            break;
        }
        return protocol::VERDICT_MAY_HAVE_RUN;
    }

    Verdict verdictOf(protocol::Verdict verdict)
    {
        switch (verdict) {
        case protocol::VERDICT_NOT_RUN:
            return Verdict::NotRun;
        case protocol::VERDICT_RAN:
            return Verdict::Ran;
        default:
            return Verdict::MayHaveRun;
        }
    }

    RefusalCode codeOf(const std::string& name)
    {
        for (int n = 0; n <= static_cast<int>(RefusalCode::Internal); ++n) {
            if (toString(static_cast<RefusalCode>(n)) == name)
                return static_cast<RefusalCode>(n);
        }
        return RefusalCode::Internal;
    }

    execution::TicketState stateOf(protocol::TicketState state)
    {
        return protocol::TicketState_IsValid(state) ? static_cast<execution::TicketState>(state)
                                                    : execution::TicketState::Sent;
    }

}

protocol::ForwardCall toForwardCall(const execution::ExecutionRequest& request, base::TimePoint now)
{
    protocol::ForwardCall call;
    call.set_ticket(request.ticket);
    call.set_account(request.account);
    call.set_service(request.service);
    call.set_body(request.body);
    call.set_only_query(request.kind == execution::ExecutionKind::QueryOutcome);
    call.set_time_left_us(static_cast<uint64_t>(std::max(request.deadline - now, base::Duration::zero()).count()));
    return call;
}

execution::ExecutionRequest fromForwardCall(const protocol::ForwardCall& call, base::TimePoint now)
{
    constexpr uint64_t longest = 3'600'000'000;
    execution::ExecutionRequest request;
    request.kind = call.only_query() ? execution::ExecutionKind::QueryOutcome : execution::ExecutionKind::Run;
    request.ticket = call.ticket();
    request.account = call.account();
    request.service = call.service();
    request.body = call.body();
    request.received = now;
    request.deadline = now + base::Duration(static_cast<int64_t>(std::min(call.time_left_us(), longest)));
    request.isForwarded = true;
    return request;
}

protocol::ForwardReply toForwardReply(const execution::ForwardReply& reply)
{
    protocol::ForwardReply wire;
    if (const auto* answer = std::get_if<execution::ExecutionAnswer>(&reply)) {
        wire.mutable_answered()->set_body(answer->body);
    } else if (const auto* outcome = std::get_if<execution::OutcomeAnswer>(&reply)) {
        auto& it = *wire.mutable_outcome();
        it.set_state(static_cast<protocol::TicketState>(outcome->state));
        it.set_has_verdict(outcome->verdict.has_value());
        it.set_verdict(toWire(outcome->verdict.value_or(Verdict::MayHaveRun)));
        it.set_body(outcome->body);
    } else {
        const auto& refusal = std::get<base::Refusal>(reply);
        auto& it = *wire.mutable_refused();
        it.set_code(std::string(toString(refusal.code)));
        it.set_verdict(toWire(refusal.verdict));
        it.set_detail(refusal.detail);
        it.set_retry_after_us(static_cast<uint64_t>(refusal.retryAfter.value_or(base::Duration::zero()).count()));
    }
    return wire;
}

execution::ForwardReply fromForwardReply(const protocol::ForwardReply& wire, const std::string& ticket)
{
    if (wire.has_answered())
        return execution::ExecutionAnswer { ticket, wire.answered().body() };
    if (wire.has_outcome()) {
        const auto& it = wire.outcome();
        execution::OutcomeAnswer outcome { ticket, stateOf(it.state()), {}, it.body() };
        if (it.has_verdict())
            outcome.verdict = verdictOf(it.verdict());
        return outcome;
    }
    if (!wire.has_refused())
        return unreachableHost("the target host sent no reply");
    const auto& it = wire.refused();
    base::Refusal refusal { codeOf(it.code()), verdictOf(it.verdict()), it.detail(), {} };
    if (it.retry_after_us() > 0)
        refusal.retryAfter = base::Duration(static_cast<int64_t>(it.retry_after_us()));
    return refusal;
}

base::Refusal unreachableHost(std::string detail)
{
    return { RefusalCode::OutcomeUnknown, Verdict::MayHaveRun, std::move(detail), {} };
}

}
