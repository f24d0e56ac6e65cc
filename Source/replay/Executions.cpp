#include "replay/Internal.h"

#include <utility>

namespace papayabend::replay {

namespace {

    Duration callerDelayOf(const World& world, const Request& request)
    {
        return request.callerDelay.value_or(world.callerDelay);
    }

    base::Refusal outcomeUnknown()
    {
        return { base::RefusalCode::OutcomeUnknown, base::Verdict::MayHaveRun, "the host could not be asked", {} };
    }

    void endForward(World& world, uint32_t n, execution::ForwardReply reply, TimePoint arrival)
    {
        auto& forward = world.forwards[n];
        if (forward.isEnded)
            return;
        forward.isEnded = true;
        forward.reply = std::move(reply);
        schedule(world, arrival, EventKind::ForwardReplyArrives, forward.origin, n, forward.originIncarnation);
    }

    Duration delayOf(const World& world, const Forward& forward)
    {
        return delayBetween(world, world.hosts[forward.origin].domain, world.hosts[forward.target].domain);
    }

    bool isForwardCut(const World& world, const Forward& forward)
    {
        return isCut(world, world.hosts[forward.origin].domain, world.hosts[forward.target].domain);
    }

}

void refuse(World& world, Request& request, const base::Refusal& refusal)
{
    request.finishedAt = world.now + callerDelayOf(world, request);
    request.outcome = RequestOutcome::Refused;
    request.verdict = refusal.verdict;
    checkRefusal(world, request, refusal);
    if (world.recorder.refused)
        world.recorder.refused(world, request, refusal);
    request.searched = {};
}

void executionRequested(World& world, Host& host, Request& request)
{
    if (request.ticketOf) {
        request.ticket = world.requests[*request.ticketOf].ticket;
        executionArrives(world, request.number);
        return;
    }
    auto reply = host.engine->issueTicket(request.account, request.service, world.now);
    if (auto* refusal = std::get_if<base::Refusal>(&reply)) {
        refuse(world, request, *refusal);
        return;
    }
    request.ticket = std::get<execution::IssuedTicket>(reply).ticket;
    schedule(world, world.now + 2 * callerDelayOf(world, request), EventKind::ExecutionArrives, host.index,
        request.number, 0);
}

void executionArrives(World& world, uint32_t n)
{
    auto& request = world.requests[n];
    auto& host = world.hosts[request.host];
    if (!host.engine) {
        request.outcome = RequestOutcome::Reset;
        request.finishedAt = world.now;
        if (world.recorder.reset)
            world.recorder.reset(world, request);
        return;
    }
    request.id = host.engine->nextRequest();
    request.hostIncarnation = host.incarnation;
    host.requests.emplace(request.id, n);
    execution::ExecutionRequest execution;
    execution.id = request.id;
    execution.ticket = request.ticket;
    execution.received = world.now;
    execution.deadline = world.now + request.timeout;
    if (request.kind == RequestKind::QueryOutcome) {
        execution.kind = execution::ExecutionKind::QueryOutcome;
    } else {
        execution.account = request.account;
        execution.service = request.service;
        execution.body = request.body;
    }
    perform(world, host, host.engine->submitExecution(std::move(execution), world.now));
}

void forwardExecution(World& world, Host& host, engine::ForwardExecution&& action)
{
    auto n = static_cast<uint32_t>(world.forwards.size());
    auto& forward = world.forwards.emplace_back();
    forward.origin = host.index;
    forward.originIncarnation = host.incarnation;
    forward.originId = action.request.id;
    auto request = host.requests.find(action.request.id);
    if (request != host.requests.end())
        forward.request = request->second;
    else
        violate(world, "forward of an unknown request");
    forward.execution = std::move(action.request);
    for (const auto& it : world.hosts) {
        if (it.name == action.host)
            forward.target = it.index;
    }
    auto& target = world.hosts[forward.target];
    if (target.name != action.host || !target.engine)
        endForward(world, n, outcomeUnknown(), world.now + 2 * delayOf(world, forward));
    else if (isForwardCut(world, forward))
        endForward(world, n, outcomeUnknown(), forward.execution.deadline);
    else
        schedule(world, world.now + delayOf(world, forward), EventKind::ForwardArrives, target.index, n, 0);
}

void forwardArrives(World& world, uint32_t n)
{
    auto& forward = world.forwards[n];
    auto& host = world.hosts[forward.target];
    if (!host.engine || isForwardCut(world, forward)) {
        endForward(world, n, outcomeUnknown(), forward.execution.deadline);
        return;
    }
    auto execution = std::move(forward.execution);
    execution.id = host.engine->nextRequest();
    execution.received = world.now;
    execution.isForwarded = true;
    host.requests.emplace(execution.id, forward.request);
    host.forwards.emplace(execution.id, n);
    perform(world, host, host.engine->submitExecution(std::move(execution), world.now));
}

bool replyToForward(World& world, Host& host, routing::RequestId id, execution::ForwardReply reply)
{
    auto it = host.forwards.find(id);
    if (it == host.forwards.end())
        return false;
    auto n = it->second;
    host.forwards.erase(it);
    const auto& forward = world.forwards[n];
    if (isForwardCut(world, forward))
        endForward(world, n, outcomeUnknown(), std::max(world.now, forward.execution.deadline));
    else
        endForward(world, n, std::move(reply), world.now + delayOf(world, forward));
    return true;
}

void forwardReplyArrives(World& world, uint32_t n)
{
    auto& forward = world.forwards[n];
    auto& host = world.hosts[forward.origin];
    if (!host.engine || host.incarnation != forward.originIncarnation)
        return;
    auto id = forward.originId;
    perform(world, host, host.engine->forwardFinished(id, std::move(forward.reply), world.now));
}

void dropForwardsOf(World& world, Host& host)
{
    for (auto [id, n] : std::exchange(host.forwards, {}))
        endForward(world, n, outcomeUnknown(), world.now + delayOf(world, world.forwards[n]));
}

}
