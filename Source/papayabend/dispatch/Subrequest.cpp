#include "papayabend/dispatch/Subrequest.h"

namespace papayabend::dispatch {

void attemptQueued(SubrequestHistory& history)
{
    ++history.inFlight;
    ++history.waiting;
}

void attemptSent(SubrequestHistory& history, base::TimePoint now)
{
    --history.waiting;
    ++history.sent;
    history.lastSentAt = now;
}

void attemptEnded(SubrequestHistory& history, bool wasSent, bool hasNotRun)
{
    --history.inFlight;
    if (!wasSent) {
        --history.waiting;
        ++history.unsent;
    } else if (hasNotRun) {
        ++history.provenNotRun;
    }
}

bool mayHaveRun(const SubrequestHistory& history) { return history.sent > history.provenNotRun; }

bool mayRetry(const SubrequestPolicy& policy, const SubrequestHistory& history)
{
    if (!policy.isIdempotent && (mayHaveRun(history) || history.inFlight > 0))
        return false;
    if (history.provenNotRun + history.unsent >= policy.maxAttempts + maxUnrunAttempts)
        return false;
    return history.sent - history.provenNotRun + history.waiting < policy.maxAttempts;
}

bool maySend(const SubrequestPolicy& policy, const SubrequestHistory& history)
{
    if (!policy.isIdempotent && mayHaveRun(history))
        return false;
    return history.sent - history.provenNotRun < policy.maxAttempts;
}

bool isHedgeDue(const SubrequestPolicy& policy, const SubrequestHistory& history, base::TimePoint now)
{
    // lastSentAt is that of the attempt in flight only if that one has been sent.
    return policy.isIdempotent && history.inFlight == 1 && history.waiting == 0 && mayRetry(policy, history)
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
