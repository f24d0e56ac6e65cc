#include "papayabend/dissemination/ReadPlan.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dissemination {

namespace {

    using namespace std::chrono_literals;

    constexpr base::Duration watchTime = 10s;
    constexpr base::Duration pollInterval = 2s;
    // A service that answers a watch at once with a value that is not taken must not be asked in a loop.
    constexpr base::Duration leastInterval = 1s;
    constexpr base::Duration longestBackoff = 8s;
    // A read whose end was never reported counts as failed.
    constexpr base::Duration lostReadTime = 5s;

    constexpr base::Duration seedDelay = 100ms;
    constexpr base::Duration seedJitter = 200ms;
    constexpr base::Duration emptyDelay = 400ms;
    constexpr base::Duration emptyJitter = 1000ms;
    constexpr base::Duration silenceTime = 10s;
    constexpr base::Duration silenceJitter = 20s;

    base::Duration scaled(base::Duration duration, double factor)
    {
        return base::Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

    base::Duration drawSilence(base::Random& random)
    {
        return silenceTime + scaled(silenceJitter, base::uniform(random));
    }

}

ReadPlan startReadPlan(bool isSeed, base::TimePoint now, base::Random& random)
{
    ReadPlan plan;
    plan.start = now;
    // The root of a uniform number has the density 2x.
    plan.emptyFallback = isSeed ? now + seedDelay + scaled(seedJitter, base::uniform(random))
                                : now + emptyDelay + scaled(emptyJitter, std::sqrt(base::uniform(random)));
    plan.silence = drawSilence(random);
    return plan;
}

std::optional<base::Duration> nextRead(
    ReadPlan& plan, const ReadSituation& situation, base::TimePoint now, base::Random& random)
{
    if (plan.isUnderWay && now - plan.lastStart > plan.lastWait + lostReadTime)
        readEnded(plan, false, false, now, random);
    if (plan.isUnderWay || now < plan.nextRead)
        return std::nullopt;
    base::Duration wait {};
    if (situation.isReader && situation.hasValue && !situation.isWantedNow)
        wait = situation.canWatch ? watchTime : 0s;
    else if (!situation.isReader && !situation.isWantedNow) {
        auto due = situation.hasValue ? std::max(situation.lastPeerAnswer, plan.lastStart) + plan.silence
                                      : plan.emptyFallback;
        if (now < due)
            return std::nullopt;
        plan.silence = drawSilence(random);
    }
    plan.isUnderWay = true;
    plan.lastStart = now;
    plan.lastWait = wait;
    ++plan.started;
    return wait;
}

void readEnded(ReadPlan& plan, bool isSuccess, bool isNewVersion, base::TimePoint now, base::Random& random)
{
    plan.isUnderWay = false;
    auto jitter = 0.5 + base::uniform(random);
    if (!isSuccess) {
        auto backoff = std::min(leastInterval * (1 << std::min(plan.failures, 6U)), longestBackoff);
        ++plan.failures;
        plan.nextRead = now + scaled(backoff, jitter);
        return;
    }
    plan.failures = 0;
    auto isWatch = plan.lastWait > base::Duration::zero();
    auto isFullWait = isWatch && now - plan.lastStart >= plan.lastWait;
    if (isWatch && (isNewVersion || isFullWait))
        plan.nextRead = now;
    else
        plan.nextRead = now + scaled(isWatch ? leastInterval : pollInterval, jitter);
}

}
