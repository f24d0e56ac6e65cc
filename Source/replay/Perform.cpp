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
            auto* request = takeOpenRequest(world, host, action.request);
            if (!request)
                return;
            request->outcome = RequestOutcome::Refused;
            request->verdict = action.refusal.verdict;
            checkRefusal(world, *request, action.refusal);
            if (world.recorder.refused)
                world.recorder.refused(world, *request, action.refusal);
            request->searched = {};
        }

        void operator()(engine::SetTimer& action) const
        {
            schedule(world, action.at, EventKind::Timer, host.index, action.request, host.incarnation);
        }

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
