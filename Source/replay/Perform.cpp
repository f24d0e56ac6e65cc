#include "replay/Internal.h"

#include <utility>
#include <variant>

namespace papayabend::replay {

namespace {

    Request* takeOpenRequest(Simulation& simulation, Host& host, routing::RequestId id)
    {
        auto it = host.requests.find(id);
        if (it == host.requests.end()) {
            recordViolation(simulation, "reply to a request that is not open at " + host.name);
            return nullptr;
        }
        auto& request = simulation.requests[it->second];
        if (request.outcome != RequestOutcome::Open) {
            recordViolation(simulation, "second reply to request " + std::to_string(request.number));
            return nullptr;
        }
        // An execution may be sent after its caller's deadline, so the number stays known.
        if (request.kind == RequestKind::Search)
            host.requests.erase(it);
        request.finishedAt = simulation.now + request.callerDelay.value_or(simulation.callerDelay);
        return &request;
    }

    struct Performer {
        Simulation& simulation;
        Host& host;

        void operator()(engine::SendAttempt& action) const { sendCall(simulation, host, std::move(action.attempt)); }
        void operator()(engine::CancelAttempt& action) const { cancelCall(simulation, host, action.attempt); }

        void operator()(engine::ReplySearch& action) const
        {
            auto* request = takeOpenRequest(simulation, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = query::coveredShare(action.answer.coverage);
            checkAnswer(simulation, *request, action.answer);
            if (simulation.recorder.answered)
                simulation.recorder.answered(simulation, *request, action.answer);
            request->searched = {};
        }

        void operator()(engine::ReplyRefusal& action) const
        {
            if (replyToForward(simulation, host, action.request, action.refusal))
                return;
            if (auto* request = takeOpenRequest(simulation, host, action.request))
                refuse(simulation, *request, action.refusal);
        }

        void operator()(engine::ReplyExecution& action) const
        {
            if (replyToForward(simulation, host, action.request, action.answer))
                return;
            auto* request = takeOpenRequest(simulation, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = 1;
            checkExecuted(simulation, *request, action.answer.body);
            if (simulation.recorder.executed)
                simulation.recorder.executed(simulation, *request, action.answer);
        }

        void operator()(engine::ReplyOutcome& action) const
        {
            if (replyToForward(simulation, host, action.request, action.answer))
                return;
            auto* request = takeOpenRequest(simulation, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = 1;
            checkOutcome(simulation, *request, action.answer);
            if (simulation.recorder.outcomeTold)
                simulation.recorder.outcomeTold(simulation, *request, action.answer);
        }

        void operator()(engine::ForwardExecution& action) const
        {
            forwardExecution(simulation, host, std::move(action));
        }

        void operator()(engine::SetTimer& action) const
        {
            schedule(simulation, action.at, EventKind::Timer, host.index, action.request, host.incarnation);
        }

        void operator()(engine::SendPeerMessage& action) const { sendPeerMessage(simulation, host, std::move(action)); }
        void operator()(engine::ReadPlatform& action) const { readPlatform(simulation, host, action); }

        void operator()(engine::StateChange& action) const
        {
            if (simulation.recorder.stateChanged)
                simulation.recorder.stateChanged(simulation, host, action);
        }

        // Actions of engine functions that the replay does not model.
        template <typename Other> void operator()(Other&) const { ++simulation.unhandledActions; }
    };

}

void perform(Simulation& simulation, Host& host, engine::Actions&& actions)
{
    for (auto& action : actions)
        std::visit(Performer { simulation, host }, action);
}

}
