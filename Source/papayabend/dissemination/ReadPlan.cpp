#include "papayabend/dissemination/ReadPlan.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dissemination {

namespace {

    using namespace std::chrono_literals;

    constexpr base::Duration watchTime = 10s;
    constexpr base::Duration pollInterval = 2s;
    // Spaces the watches if the service answers them at once with a value that is old or invalid.
    constexpr base::Duration minReadInterval = 1s;
    constexpr base::Duration maxBackoff = 8s;
    // A read whose end was never reported counts as failed.
    constexpr base::Duration lostReadTime = 5s;

    constexpr base::Duration seedDelay = 100ms;
    constexpr base::Duration seedJitter = 200ms;
    constexpr base::Duration emptyDelay = 400ms;
    constexpr base::Duration emptyJitter = 1000ms;
    constexpr base::Duration minPeerSilence = 10s;
    constexpr base::Duration peerSilenceJitter = 20s;

    base::Duration scaled(base::Duration duration, double factor)
    {
        return base::Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

    base::Duration randomPeerSilence(base::Random& random)
    {
        return minPeerSilence + scaled(peerSilenceJitter, base::uniform(random));
    }

}

ReadPlan startReadPlan(bool isSeed, base::TimePoint now, base::Random& random)
{
    ReadPlan plan;
    plan.start = now;
    // The square root of a uniform number in [0, 1) has the density 2x.
    plan.emptyFallback = isSeed ? now + seedDelay + scaled(seedJitter, base::uniform(random))
                                : now + emptyDelay + scaled(emptyJitter, std::sqrt(base::uniform(random)));
    plan.maxPeerSilence = randomPeerSilence(random);
    return plan;
}

std::optional<base::Duration> nextRead(
    ReadPlan& plan, const ReadSituation& situation, base::TimePoint now, base::Random& random)
{
    if (plan.isInFlight && now - plan.lastStart > plan.lastWait + lostReadTime)
        readEnded(plan, false, false, now, random);
    if (plan.isInFlight || now < plan.earliestRead)
        return std::nullopt;
    base::Duration wait {};
    if (situation.isReader && situation.hasValue && !situation.isWantedNow)
        wait = situation.canWatch ? watchTime : 0s;
    else if (!situation.isReader && !situation.isWantedNow) {
        auto due = situation.hasValue ? std::max(situation.lastPeerAnswer, plan.lastStart) + plan.maxPeerSilence
                                      : plan.emptyFallback;
        if (now < due)
            return std::nullopt;
        plan.maxPeerSilence = randomPeerSilence(random);
    }
    plan.isInFlight = true;
    plan.lastStart = now;
    plan.lastWait = wait;
    ++plan.started;
    return wait;
}

void readEnded(ReadPlan& plan, bool isSuccess, bool isNewVersion, base::TimePoint now, base::Random& random)
{
    plan.isInFlight = false;
    auto jitter = 0.5 + base::uniform(random);
    if (!isSuccess) {
        auto backoff = std::min(minReadInterval * (1 << std::min(plan.failures, 6U)), maxBackoff);
        ++plan.failures;
        plan.earliestRead = now + scaled(backoff, jitter);
        return;
    }
    plan.failures = 0;
    auto isWatch = plan.lastWait > base::Duration::zero();
    auto isFullWait = isWatch && now - plan.lastStart >= plan.lastWait;
    if (isWatch && (isNewVersion || isFullWait))
        plan.earliestRead = now;
    else
        plan.earliestRead = now + scaled(isWatch ? minReadInterval : pollInterval, jitter);
}

}
