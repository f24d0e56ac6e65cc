#include "replay/Internal.h"

#include <utility>

namespace papayabend::replay {

namespace {

    Duration callerDelayOf(const Simulation& simulation, const Request& request)
    {
        return request.callerDelay.value_or(simulation.callerDelay);
    }

    base::Refusal outcomeUnknown()
    {
        return { base::RefusalCode::OutcomeUnknown, base::Verdict::MayHaveRun, "the host could not be asked", {} };
    }

    void endForward(Simulation& simulation, uint32_t n, execution::ForwardReply reply, TimePoint arrival)
    {
        auto& forward = simulation.forwards[n];
        if (forward.isEnded)
            return;
        forward.isEnded = true;
        forward.reply = std::move(reply);
        schedule(simulation, arrival, EventKind::ForwardReplyArrives, forward.origin, n, forward.originIncarnation);
    }

    Duration delayOf(const Simulation& simulation, const Forward& forward)
    {
        return delayBetween(
            simulation, simulation.hosts[forward.origin].domain, simulation.hosts[forward.target].domain);
    }

    bool isForwardCut(const Simulation& simulation, const Forward& forward)
    {
        return isCut(simulation, simulation.hosts[forward.origin].domain, simulation.hosts[forward.target].domain);
    }

}

void refuse(Simulation& simulation, Request& request, const base::Refusal& refusal)
{
    request.finishedAt = simulation.now + callerDelayOf(simulation, request);
    request.outcome = RequestOutcome::Refused;
    request.verdict = refusal.verdict;
    checkRefusal(simulation, request, refusal);
    if (simulation.recorder.refused)
        simulation.recorder.refused(simulation, request, refusal);
    request.searched = {};
}

void executionRequested(Simulation& simulation, Host& host, Request& request)
{
    if (request.ticketOf) {
        request.ticket = simulation.requests[*request.ticketOf].ticket;
        executionArrives(simulation, request.number);
        return;
    }
    auto reply = host.engine->issueTicket(request.account, request.service, simulation.now);
    if (auto* refusal = std::get_if<base::Refusal>(&reply)) {
        refuse(simulation, request, *refusal);
        return;
    }
    request.ticket = std::get<execution::IssuedTicket>(reply).ticket;
    schedule(simulation, simulation.now + 2 * callerDelayOf(simulation, request), EventKind::ExecutionArrives,
        host.index, request.number, 0);
}

void executionArrives(Simulation& simulation, uint32_t n)
{
    auto& request = simulation.requests[n];
    auto& host = simulation.hosts[request.host];
    if (!host.engine) {
        request.outcome = RequestOutcome::Reset;
        request.finishedAt = simulation.now;
        if (simulation.recorder.reset)
            simulation.recorder.reset(simulation, request);
        return;
    }
    request.id = host.engine->nextRequest();
    request.hostIncarnation = host.incarnation;
    host.requests.emplace(request.id, n);
    execution::ExecutionRequest execution;
    execution.id = request.id;
    execution.ticket = request.ticket;
    execution.received = simulation.now;
    execution.deadline = simulation.now + request.timeout;
    if (request.kind == RequestKind::QueryOutcome) {
        execution.kind = execution::ExecutionKind::QueryOutcome;
    } else {
        execution.account = request.account;
        execution.service = request.service;
        execution.body = request.body;
    }
    perform(simulation, host, host.engine->submitExecution(std::move(execution), simulation.now));
}

void forwardExecution(Simulation& simulation, Host& host, engine::ForwardExecution&& action)
{
    auto n = static_cast<uint32_t>(simulation.forwards.size());
    auto& forward = simulation.forwards.emplace_back();
    forward.origin = host.index;
    forward.originIncarnation = host.incarnation;
    forward.originId = action.request.id;
    auto request = host.requests.find(action.request.id);
    if (request != host.requests.end())
        forward.request = request->second;
    else
        recordViolation(simulation, "forward of an unknown request");
    forward.execution = std::move(action.request);
    for (const auto& it : simulation.hosts) {
        if (it.name == action.host)
            forward.target = it.index;
    }
    auto& target = simulation.hosts[forward.target];
    if (target.name != action.host || !target.engine)
        endForward(simulation, n, outcomeUnknown(), simulation.now + 2 * delayOf(simulation, forward));
    else if (isForwardCut(simulation, forward))
        endForward(simulation, n, outcomeUnknown(), forward.execution.deadline);
    else
        schedule(
            simulation, simulation.now + delayOf(simulation, forward), EventKind::ForwardArrives, target.index, n, 0);
}

void forwardArrives(Simulation& simulation, uint32_t n)
{
    auto& forward = simulation.forwards[n];
    auto& host = simulation.hosts[forward.target];
    if (!host.engine || isForwardCut(simulation, forward)) {
        endForward(simulation, n, outcomeUnknown(), forward.execution.deadline);
        return;
    }
    auto execution = std::move(forward.execution);
    execution.id = host.engine->nextRequest();
    execution.received = simulation.now;
    execution.isForwarded = true;
    host.requests.emplace(execution.id, forward.request);
    host.forwards.emplace(execution.id, n);
    perform(simulation, host, host.engine->submitExecution(std::move(execution), simulation.now));
}

bool replyToForward(Simulation& simulation, Host& host, routing::RequestId id, execution::ForwardReply reply)
{
    auto it = host.forwards.find(id);
    if (it == host.forwards.end())
        return false;
    auto n = it->second;
    host.forwards.erase(it);
    const auto& forward = simulation.forwards[n];
    if (isForwardCut(simulation, forward))
        endForward(simulation, n, outcomeUnknown(), std::max(simulation.now, forward.execution.deadline));
    else
        endForward(simulation, n, std::move(reply), simulation.now + delayOf(simulation, forward));
    return true;
}

void forwardReplyArrives(Simulation& simulation, uint32_t n)
{
    auto& forward = simulation.forwards[n];
    auto& host = simulation.hosts[forward.origin];
    if (!host.engine || host.incarnation != forward.originIncarnation)
        return;
    auto id = forward.originId;
    perform(simulation, host, host.engine->forwardFinished(id, std::move(forward.reply), simulation.now));
}

void dropForwardsOf(Simulation& simulation, Host& host)
{
    for (auto [id, n] : std::exchange(host.forwards, {}))
        endForward(simulation, n, outcomeUnknown(), simulation.now + delayOf(simulation, simulation.forwards[n]));
}

}
