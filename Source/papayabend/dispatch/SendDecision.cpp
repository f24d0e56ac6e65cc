#include "papayabend/dispatch/SendDecision.h"

namespace papayabend::dispatch {

bool needsBudget(const SubrequestHistory& history) { return history.sent > 0; }

SendReason reasonNotToSend(const SendInputs& inputs)
{
    if (inputs.isAnswered)
        return SendReason::Answered;
    if (inputs.now >= inputs.deadline)
        return SendReason::OutOfTime;
    if (inputs.isStale)
        return SendReason::Stale;
    if (inputs.isSuspect)
        return SendReason::Suspect;
    if (inputs.gate != GateReason::None)
        return SendReason::Gate;
    if (!maySend(inputs.policy, inputs.history))
        return SendReason::AttemptsUsed;
    return inputs.budgetLeft && *inputs.budgetLeft < 1 ? SendReason::NoBudget : SendReason::None;
}

const char* toString(SendReason reason, GateReason gate)
{
    switch (reason) {
    case SendReason::None:
        break;
    case SendReason::Answered:
        return "answered";
    case SendReason::OutOfTime:
        return "out_of_time";
    case SendReason::Stale:
        return "stale";
    case SendReason::Suspect:
        return "suspect";
    case SendReason::Gate:
        return toString(gate);
    case SendReason::AttemptsUsed:
        return "attempts_used";
    case SendReason::NoBudget:
        return "no_budget";
    }
    return "none";
}

}
