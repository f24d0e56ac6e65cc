#include "papayabend/admission/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace papayabend::admission {

namespace {

    using base::RefusalCode;

    // After this many interactive requests in a row one bulk request is admitted, so that bulk is not starved.
    constexpr uint32_t maxConsecutiveInteractive = 8;

    // An account may send the requests of this time at its rate in one burst after a pause.
    constexpr double burstSeconds = 0.05;

    // Smallest delay of a wake. At a rate above one request per delay, each wake admits several requests.
    constexpr base::Duration minWakeDelay = std::chrono::milliseconds(1);

    constexpr double serviceTimeSmoothing = 0.05;
    constexpr double rateSmoothing = 0.5;
    constexpr double runTimeSmoothing = 0.1;

    // Expected run time above the mean, in mean deviations. Longer run times are rare; the retransmission timeout of
    // TCP is estimated in the same way.
    constexpr int64_t marginDeviations = 2;

    RefusedRequest refuse(routing::RequestId id, RefusalCode code, std::string detail, base::Duration retryAfter = {})
    {
        RefusedRequest refused { id, { code, base::Verdict::NotRun, std::move(detail), {} } };
        if (retryAfter > base::Duration::zero())
            refused.refusal.retryAfter = retryAfter;
        return refused;
    }

    base::Duration toDuration(double seconds)
    {
        constexpr double maxSeconds = 3600;
        return base::Duration(static_cast<int64_t>(std::ceil(std::min(seconds, maxSeconds) * 1e6)));
    }

    void refill(AccountQueue& queue, base::TimePoint now)
    {
        if (queue.rate) {
            auto seconds = std::chrono::duration<double>(now - queue.refilledAt).count();
            auto depth = std::max(1.0, *queue.rate * burstSeconds);
            queue.tokens = std::min(queue.tokens + std::max(seconds, 0.0) * *queue.rate, depth);
        }
        queue.refilledAt = now;
    }

    base::Duration timeUntilToken(const AccountQueue& queue)
    {
        if (!queue.rate || queue.tokens >= 1)
            return {};
        return toDuration(*queue.rate > 0 ? (1 - queue.tokens) / *queue.rate : 3600);
    }

    /** Returns the expected time until a request at the end of the account's queue is admitted. */
    base::Duration expectedWait(const FairQueue& service, const AccountQueue& queue)
    {
        auto ahead = static_cast<double>(queue.waiting.size());
        if (queue.rate)
            return toDuration(*queue.rate > 0 ? std::max(ahead + 1 - queue.tokens, 0.0) / *queue.rate : 3600);
        return base::Duration(static_cast<int64_t>(ahead)) * service.serviceTime.count() / std::max(service.window, 1U);
    }

    bool isEligible(const AccountQueue& queue, base::TimePoint now)
    {
        return !queue.waiting.empty() && (!queue.rate || queue.tokens >= 1) && queue.quotaBlockedUntil <= now;
    }

    /** Returns the account whose first request is admitted next, or the end. */
    auto chooseNext(FairQueue& service, base::TimePoint now)
    {
        auto best = service.accounts.end();
        bool bulkIsDue = service.consecutiveInteractive >= maxConsecutiveInteractive;
        for (auto it = service.accounts.begin(); it != service.accounts.end(); ++it) {
            if (!isEligible(it->second, now))
                continue;
            auto rank = [&](const AccountQueue& queue) {
                return std::pair(queue.grant.isBulk != bulkIsDue, queue.virtualTime);
            };
            if (best == service.accounts.end() || rank(it->second) < rank(best->second))
                best = it;
        }
        return best;
    }

    /**
     * Returns whether a request that is admitted at \a start would end after its deadline. A request that does not have
     * to wait only needs time for the mean service time, because there is capacity for it and a partial answer may be
     * useful.
     */
    bool wouldMissDeadline(
        const FairQueue& service, const QueuedRequest& request, bool hasToWait, base::TimePoint start)
    {
        return request.deadline <= start + (hasToWait ? expectedRunTime(service) : service.serviceTime);
    }

    void refuseLate(FairQueue& service, AccountQueue& queue, base::TimePoint now, AdmissionStep& step)
    {
        while (!queue.waiting.empty()
            && wouldMissDeadline(service, queue.waiting.front(), queue.waiting.front().arrived < now, now)) {
            step.refused.push_back(refuse(
                queue.waiting.front().id, RefusalCode::DeadlineExceeded, "the request waited until its deadline"));
            queue.waiting.pop_front();
        }
    }

    void setWake(FairQueue& service, base::TimePoint now, AdmissionStep& step)
    {
        std::optional<base::TimePoint> wake;
        for (const auto& [name, queue] : service.accounts) {
            if (queue.waiting.empty())
                continue;
            auto at = std::max({ now + timeUntilToken(queue), queue.quotaBlockedUntil, now + minWakeDelay });
            wake = std::min(wake.value_or(at), at);
        }
        // While the window is full, the next release() is followed by a dispatch, so no wake is needed.
        if (!wake || service.inFlight >= service.window)
            return;
        if (service.pendingWake && *service.pendingWake > now && *service.pendingWake <= *wake)
            return;
        service.pendingWake = wake;
        step.wake = wake;
    }

}

AdmissionStep setGrants(FairQueue& service, const std::map<std::string, AccountGrant, std::less<>>& grants)
{
    AdmissionStep step;
    std::erase_if(service.accounts, [&](auto& entry) {
        if (grants.contains(entry.first))
            return false;
        std::ranges::transform(
            entry.second.waiting, std::back_inserter(step.refused), [](const QueuedRequest& request) {
                return refuse(request.id, RefusalCode::AccessDenied,
                    "the table in force grants the account no access to the service");
            });
        return true;
    });
    for (const auto& [account, grant] : grants)
        service.accounts[account].grant = grant;
    return step;
}

AdmissionStep submit(FairQueue& service, const AdmissionSettings& settings, std::string_view account,
    const QueuedRequest& request, base::TimePoint now, const ConsumeQuota& consumeQuota)
{
    AdmissionStep step;
    auto it = service.accounts.find(account);
    if (it == service.accounts.end()) {
        step.refused.push_back(
            refuse(request.id, RefusalCode::AccessDenied, "the table grants the account no access to the service"));
        return step;
    }
    auto& queue = it->second;
    ++queue.arrivals;
    refill(queue, now);
    auto wait = expectedWait(service, queue);
    auto hasToWait = wait > base::Duration::zero() || !queue.waiting.empty() || service.inFlight >= service.window;
    if (now >= request.deadline) {
        step.refused.push_back(refuse(request.id, RefusalCode::DeadlineExceeded, "the deadline has passed"));
    } else if (queue.waiting.size() >= settings.queueLength) {
        step.refused.push_back(refuse(request.id, RefusalCode::QueueFull, "the account's queue is full", wait));
    } else if (queue.quotaBlockedUntil > request.deadline) {
        step.refused.push_back(refuse(request.id, RefusalCode::LimitReached,
            "the limit of the account allows no request before the deadline", queue.quotaBlockedUntil - now));
    } else if (wouldMissDeadline(service, request, hasToWait, now + wait)) {
        step.refused.push_back(refuse(
            request.id, RefusalCode::DeadlineTooShort, "the request is expected to end after its deadline", wait));
    } else {
        if (queue.waiting.empty())
            queue.virtualTime = std::max(queue.virtualTime, service.virtualNow);
        queue.waiting.push_back({ request.id, request.deadline, now });
        return dispatch(service, now, consumeQuota);
    }
    return step;
}

AdmissionStep dispatch(FairQueue& service, base::TimePoint now, const ConsumeQuota& consumeQuota)
{
    AdmissionStep step;
    for (auto& [name, queue] : service.accounts)
        refill(queue, now);
    while (service.inFlight < service.window) {
        auto it = chooseNext(service, now);
        if (it == service.accounts.end())
            break;
        auto& queue = it->second;
        refuseLate(service, queue, now, step);
        if (queue.waiting.empty())
            continue;
        auto quotaWait = consumeQuota ? consumeQuota(it->first, queue.grant) : base::Duration::zero();
        if (quotaWait > base::Duration::zero()) {
            queue.quotaBlockedUntil = now + quotaWait;
            continue;
        }
        step.admitted.push_back(queue.waiting.front().id);
        queue.waiting.pop_front();
        service.virtualNow = std::max(service.virtualNow, queue.virtualTime);
        queue.virtualTime += 1 / queue.grant.weight;
        if (queue.rate)
            queue.tokens -= 1;
        ++queue.served;
        ++service.inFlight;
        service.consecutiveInteractive = queue.grant.isBulk ? 0 : service.consecutiveInteractive + 1;
    }
    setWake(service, now, step);
    return step;
}

base::Duration expectedRunTime(const FairQueue& service)
{
    // With no request in flight the measured run time is ignored, so that a request is admitted and a run time measured
    // during an overload is corrected.
    if (service.inFlight == 0)
        return service.serviceTime;
    return std::max(service.serviceTime, service.runTime + marginDeviations * service.runDeviation);
}

void release(FairQueue& service, base::Duration serviceTime, base::Duration runTime)
{
    if (service.inFlight > 0)
        --service.inFlight;
    auto smooth = [](base::Duration& mean, base::Duration value, double factor) {
        if (mean == base::Duration::zero())
            mean = value;
        mean += base::Duration(static_cast<int64_t>(std::round(static_cast<double>((value - mean).count()) * factor)));
    };
    if (runTime > base::Duration::zero()) {
        auto deviation = service.runTime == base::Duration::zero() ? runTime / 2 : abs(runTime - service.runTime);
        smooth(service.runDeviation, deviation, runTimeSmoothing);
        smooth(service.runTime, runTime, runTimeSmoothing);
    }
    if (serviceTime > base::Duration::zero())
        smooth(service.serviceTime, serviceTime, serviceTimeSmoothing);
}

bool removeWaiting(FairQueue& service, std::string_view account, routing::RequestId id)
{
    auto it = service.accounts.find(account);
    return it != service.accounts.end()
        && std::erase_if(it->second.waiting, [&](const QueuedRequest& request) { return request.id == id; }) > 0;
}

AdmissionStep expireQueued(FairQueue& service, base::TimePoint now)
{
    AdmissionStep step;
    for (auto& [name, queue] : service.accounts) {
        std::erase_if(queue.waiting, [&](const QueuedRequest& request) {
            if (request.deadline > now)
                return false;
            step.refused.push_back(
                refuse(request.id, RefusalCode::DeadlineExceeded, "the request waited until its deadline"));
            return true;
        });
    }
    return step;
}

std::vector<DemandReport> takeReports(FairQueue& service, std::string_view serviceName, base::TimePoint now)
{
    std::vector<DemandReport> reports;
    auto seconds = std::chrono::duration<double>(now - service.lastReportAt).count();
    bool isFirst = service.lastReportAt == base::TimePoint {};
    service.lastReportAt = now;
    for (auto& [account, queue] : service.accounts) {
        auto smooth = [&](double& mean, uint64_t& count) {
            auto rate = seconds > 0 && !isFirst ? static_cast<double>(std::exchange(count, 0)) / seconds : 0;
            mean += (rate - mean) * rateSmoothing;
        };
        smooth(queue.arrivalsPerSecond, queue.arrivals);
        smooth(queue.servedPerSecond, queue.served);
        constexpr double negligible = 1e-3;
        if (queue.arrivalsPerSecond < negligible && queue.servedPerSecond < negligible && queue.waiting.empty())
            continue;
        reports.push_back({ account, std::string(serviceName), queue.arrivalsPerSecond, queue.servedPerSecond,
            static_cast<double>(queue.waiting.size()), static_cast<uint64_t>(service.serviceTime.count()) });
    }
    return reports;
}

}
