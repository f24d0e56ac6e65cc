#include "papayabend/dispatch/Subrequest.h"

namespace papayabend::dispatch {

bool mayHaveRun(const SubrequestHistory& history) { return history.sent > history.provenNotRun; }

bool mayRetry(const SubrequestPolicy& policy, const SubrequestHistory& history)
{
    if (!policy.isIdempotent && (mayHaveRun(history) || history.inFlight > 0))
        return false;
    if (history.provenNotRun + history.unsent >= policy.maxAttempts + maxUnrunAttempts)
        return false;
    auto waiting = history.inFlight > 0 && history.sent == 0 ? 1U : 0U;
    return history.sent - history.provenNotRun + waiting < policy.maxAttempts;
}

bool isHedgeDue(const SubrequestPolicy& policy, const SubrequestHistory& history, base::TimePoint now)
{
    return policy.isIdempotent && history.inFlight == 1 && history.sent > 0 && mayRetry(policy, history)
        && now - history.lastSentAt >= policy.hedgeDelay;
}

bool isRefusalDue(const SubrequestHistory& history, base::TimePoint objective, base::TimePoint now)
{
    return !mayHaveRun(history) && now >= objective;
}

base::Verdict verdictOf(const SubrequestHistory& history)
{
    return mayHaveRun(history) ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
}

}
