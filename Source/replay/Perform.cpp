#include "replay/Internal.h"

#include <utility>
#include <variant>

namespace papayabend::replay {

namespace {

    Request* takeOpenRequest(World& world, Host& host, routing::RequestId id)
    {
        auto it = host.requests.find(id);
        if (it == host.requests.end()) {
            violate(world, "reply to a request that is not open at " + host.name);
            return nullptr;
        }
        auto& request = world.requests[it->second];
        if (request.outcome != RequestOutcome::Open) {
            violate(world, "second reply to request " + std::to_string(request.number));
            return nullptr;
        }
        // An execution may be sent after its caller's deadline, so the number stays known.
        if (request.kind == RequestKind::Search)
            host.requests.erase(it);
        request.finishedAt = world.now + request.callerDelay.value_or(world.callerDelay);
        return &request;
    }

    struct Performer {
        World& world;
        Host& host;

        void operator()(engine::SendAttempt& action) const { sendCall(world, host, std::move(action.attempt)); }
        void operator()(engine::CancelAttempt& action) const { cancelCall(world, host, action.attempt); }

        void operator()(engine::ReplySearch& action) const
        {
            auto* request = takeOpenRequest(world, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = query::coveredShare(action.answer.coverage);
            checkAnswer(world, *request, action.answer);
            if (world.recorder.answered)
                world.recorder.answered(world, *request, action.answer);
            request->searched = {};
        }

        void operator()(engine::ReplyRefusal& action) const
        {
            if (replyToForward(world, host, action.request, action.refusal))
                return;
            if (auto* request = takeOpenRequest(world, host, action.request))
                refuse(world, *request, action.refusal);
        }

        void operator()(engine::ReplyExecution& action) const
        {
            if (replyToForward(world, host, action.request, action.answer))
                return;
            auto* request = takeOpenRequest(world, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = 1;
            checkExecuted(world, *request, action.answer.body);
            if (world.recorder.executed)
                world.recorder.executed(world, *request, action.answer);
        }

        void operator()(engine::ReplyOutcome& action) const
        {
            if (replyToForward(world, host, action.request, action.answer))
                return;
            auto* request = takeOpenRequest(world, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Answered;
            request->coverage = 1;
            checkOutcome(world, *request, action.answer);
            if (world.recorder.outcomeTold)
                world.recorder.outcomeTold(world, *request, action.answer);
        }

        void operator()(engine::ForwardExecution& action) const { forwardExecution(world, host, std::move(action)); }

        void operator()(engine::SetTimer& action) const
        {
            schedule(world, action.at, EventKind::Timer, host.index, action.request, host.incarnation);
        }

        void operator()(engine::SendPeerMessage& action) const { sendPeerMessage(world, host, std::move(action)); }
        void operator()(engine::ReadPlatform& action) const { readPlatform(world, host, action); }

        void operator()(engine::StateChange& action) const
        {
            if (world.recorder.stateChanged)
                world.recorder.stateChanged(world, host, action);
        }

        // Actions of engine functions that the replay does not model.
        template <typename Other> void operator()(Other&) const { ++world.unhandledActions; }
    };

}

void perform(World& world, Host& host, engine::Actions&& actions)
{
    for (auto& action : actions)
        std::visit(Performer { world, host }, action);
}

}
