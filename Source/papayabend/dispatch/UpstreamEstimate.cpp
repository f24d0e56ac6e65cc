#include "papayabend/dispatch/UpstreamEstimate.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dispatch {

namespace {

    // The fit and the failure rate follow changes that last for some ten seconds; with one request a second they
    // rest on about 14 samples.
    constexpr base::Duration fitHalfLife { std::chrono::seconds(10) };
    constexpr base::Duration failureHalfLife { std::chrono::seconds(10) };
    // Upstreams are slow for about half a second at a time.
    constexpr base::Duration deviationHalfLife { std::chrono::milliseconds(300) };
    // The stated work ratio changes many times a second.
    constexpr base::Duration statedRatioHalfLife { std::chrono::milliseconds(100) };
    constexpr base::Duration statedRequestsHalfLife { std::chrono::milliseconds(200) };

    // Weight, in samples, with which the figures of the service enter each estimate.
    constexpr double fitPrior = 20;
    constexpr double growthPrior = 10;
    constexpr double deviationPrior = 2;
    // Samples of which the newest deviation consists at most, so that many answers do not delay it.
    constexpr double maxDeviationSamples = 4;
    constexpr double failurePrior = 4;
    constexpr double statedWeight = 2;
    // Growth with each request in flight relative to the response time alone: before there is evidence, and at least.
    // The lower bound spreads requests over upstreams whose response time does not grow yet.
    constexpr double usualGrowth = 0.5;
    constexpr double minGrowth = 0.5;
    constexpr double usualFailureRate = 0.01;
    // A refusal takes a round trip and an attempt, but no work.
    constexpr double refusedAttemptShare = 0.5;

    // Bounds of one sample, so that a single answer does not decide.
    constexpr double minRatio = 0.2;
    constexpr double maxRatio = 10;
    constexpr double minDeviation = 0.4;
    constexpr double maxDeviation = 5;
    constexpr double errorStep = 0.1;
    // Error that shows nothing, since the work of requests differs.
    constexpr double usualError = 0.05;

    std::string twoDecimals(double value)
    {
        auto hundredths = std::llround(value * 100);
        auto text = std::to_string(hundredths / 100) + '.';
        return text + (hundredths % 100 < 10 ? "0" : "") + std::to_string(hundredths % 100);
    }

    double decay(base::TimePoint since, base::Duration halfLife, base::TimePoint now)
    {
        if (now <= since)
            return 1;
        return std::exp2(-std::chrono::duration<double>(now - since) / std::chrono::duration<double>(halfLife));
    }

    struct Line {
        double alone; /**< Latency ratio without other requests. */
        double growth; /**< Increase with each request in flight. */
    };

    /** Returns the line with the least squared error over the answers and over the figures of the service. */
    Line fit(const UpstreamEstimate& estimate, double serviceRatio, base::TimePoint now)
    {
        auto kept = decay(estimate.fittedAt, fitHalfLife, now);
        auto weight = kept * estimate.weight + fitPrior;
        auto load = kept * estimate.sumLoad;
        auto loadSquared = kept * estimate.sumLoadSquared + growthPrior;
        auto ratio = kept * estimate.sumRatio + fitPrior * serviceRatio;
        auto loadRatio = kept * estimate.sumLoadRatio + growthPrior * usualGrowth * serviceRatio;
        auto determinant = weight * loadSquared - load * load;
        auto alone = std::clamp((ratio * loadSquared - load * loadRatio) / determinant, minRatio, maxRatio);
        auto growth = (weight * loadRatio - load * ratio) / determinant;
        // The least growth does not change the time alone: an upstream whose time does not grow would seem the faster,
        // the more it is used.
        return { alone, std::clamp(growth, minGrowth * alone, maxRatio) };
    }

    /** Returns the weight of what the upstream states, in [0, 1]: low if its answers agree better with the fit without
     * it. */
    double trust(const UpstreamEstimate& estimate)
    {
        auto quotient = (estimate.errorWithoutStated + usualError) / (estimate.errorWithStated + usualError);
        return std::min(1.0, std::pow(quotient, 4));
    }

    double deviationOf(const UpstreamEstimate& estimate, base::TimePoint now)
    {
        auto kept = decay(estimate.deviationAt, deviationHalfLife, now);
        auto weight = deviationPrior + kept * estimate.deviationWeight;
        auto sum = deviationPrior + kept * estimate.deviationSum;
        if (estimate.stated && estimate.stated->workRatio) {
            auto stated = statedWeight * trust(estimate) * decay(estimate.statedAt, statedRatioHalfLife, now);
            weight += stated;
            sum += stated * std::clamp(*estimate.stated->workRatio, minDeviation, maxDeviation);
        }
        return sum / weight;
    }

    void addSample(UpstreamEstimate& estimate, const Expectation& expected, double ratio, base::TimePoint now)
    {
        ratio = std::clamp(ratio, minRatio, maxRatio);
        auto kept = decay(estimate.fittedAt, fitHalfLife, now);
        auto add = [&kept](double& sum, double value) { sum = kept * sum + value; };
        add(estimate.weight, 1);
        add(estimate.sumLoad, expected.requests);
        add(estimate.sumLoadSquared, expected.requests * expected.requests);
        add(estimate.sumRatio, ratio);
        add(estimate.sumLoadRatio, expected.requests * ratio);
        estimate.fittedAt = now;

        kept = std::min(decay(estimate.deviationAt, deviationHalfLife, now), 1 - 1 / maxDeviationSamples);
        add(estimate.deviationWeight, 1);
        add(estimate.deviationSum, std::clamp(ratio / expected.steadyRatio, minDeviation, maxDeviation));
        estimate.deviationAt = now;
    }

    void addStatedLoad(UpstreamEstimate& estimate, const StatedLoad& stated, double ownRequests, base::TimePoint now)
    {
        estimate.stated = stated;
        estimate.statedAt = now;
        // More than the slots do not run at once, and a queue that an upstream states counts at most as much again.
        auto requests = std::min(stated.running, stated.slots) + std::min(stated.waiting, stated.slots);
        estimate.statedOthers = std::max(static_cast<double>(requests) - ownRequests, 0.0);
    }

    /** Updates the errors of the fit with and without the newest stated work ratio, after an answer that took \a ratio
     * times the median. */
    void compareStatedRatio(UpstreamEstimate& estimate, const Expectation& expected, double ratio)
    {
        if (!estimate.stated || !estimate.stated->workRatio)
            return;
        auto observed = std::clamp(ratio / expected.steadyRatio, minDeviation, maxDeviation);
        auto stated = std::clamp(*estimate.stated->workRatio, minDeviation, maxDeviation);
        auto follow = [](double& mean, double error) { mean += errorStep * (std::abs(error) - mean); };
        follow(estimate.errorWithStated, std::log(observed / stated));
        follow(estimate.errorWithoutStated, std::log(observed));
    }

    void addAttempt(UpstreamEstimate& estimate, double failure, base::TimePoint now)
    {
        auto kept = decay(estimate.attemptsAt, failureHalfLife, now);
        estimate.attempts = kept * estimate.attempts + 1;
        estimate.failures = kept * estimate.failures + failure;
        estimate.attemptsAt = now;
        estimate.newestAt = now;
    }

}

bool beginProcess(UpstreamEstimate& estimate, const discovery::UpstreamRecord& record)
{
    if (estimate.generation > 0 && estimate.address == record.address && estimate.startedAt == record.startedAt)
        return false;
    auto generation = estimate.generation + 1;
    estimate = {};
    estimate.address = record.address;
    estimate.startedAt = record.startedAt;
    estimate.generation = generation;
    return generation > 1;
}

void addResult(
    UpstreamEstimate& estimate, const Expectation& expected, const AttemptResult& result, base::TimePoint now)
{
    if (expected.generation != estimate.generation)
        return;
    // Without a median there is nothing to compare with; the answer then counts as usual.
    auto ratio = result.medianLatency.count() > 0
        ? static_cast<double>(result.duration.count()) / static_cast<double>(result.medianLatency.count())
        : 1;
    if (result.stated)
        addStatedLoad(estimate, *result.stated, static_cast<double>(result.ownRequests), now);
    switch (result.end) {
    case AttemptEnd::Answered:
        compareStatedRatio(estimate, expected, ratio);
        addSample(estimate, expected, ratio, now);
        return addAttempt(estimate, 0, now);
    case AttemptEnd::Failed:
        return addAttempt(estimate, 1, now);
    case AttemptEnd::Refused:
        return addAttempt(estimate, refusedAttemptShare, now);
    case AttemptEnd::GivenUp:
        // The time so far is a lower bound, which shows something only if it is longer than expected.
        if (ratio > expected.latencyRatio())
            addSample(estimate, expected, ratio, now);
        if (result.duration >= result.objective)
            addAttempt(estimate, 1, now);
        return;
    }
}

ServiceMean serviceMean(std::span<const UpstreamEstimate* const> estimates, base::TimePoint now)
{
    double weight = fitPrior;
    double ratio = fitPrior;
    double attempts = failurePrior;
    double failures = failurePrior * usualFailureRate;
    for (const auto* it : estimates) {
        auto kept = decay(it->fittedAt, fitHalfLife, now);
        // At the usual growth each answer takes 1 + usualGrowth * load times as long as without other requests.
        weight += kept * (it->weight + usualGrowth * it->sumLoad);
        ratio += kept * it->sumRatio;
        kept = decay(it->attemptsAt, failureHalfLife, now);
        attempts += kept * it->attempts;
        failures += kept * it->failures;
    }
    return { ratio / weight, failures / attempts };
}

Expectation expect(
    const UpstreamEstimate& estimate, const ServiceMean& service, double ownRequests, base::TimePoint now)
{
    Expectation result;
    result.requests = ownRequests;
    if (estimate.stated)
        result.requests
            += trust(estimate) * decay(estimate.statedAt, statedRequestsHalfLife, now) * estimate.statedOthers;
    auto line = fit(estimate, service.latencyRatio, now);
    result.steadyRatio = line.alone + line.growth * result.requests;
    auto answers = decay(estimate.fittedAt, fitHalfLife, now) * estimate.weight;
    result.evidence = answers / (answers + fitPrior);
    result.deviation = deviationOf(estimate, now);
    auto kept = decay(estimate.attemptsAt, failureHalfLife, now);
    result.failureRate
        = (kept * estimate.failures + failurePrior * service.failureRate) / (kept * estimate.attempts + failurePrior);
    if (estimate.newestAt != base::TimePoint {})
        result.age = now - estimate.newestAt;
    result.generation = estimate.generation;
    return result;
}

std::string describe(const Expectation& expectation)
{
    auto age = expectation.age ? std::to_string(base::toMilliseconds(*expectation.age)) + " ms old" : "no evidence";
    return "time x" + twoDecimals(expectation.latencyRatio()) + ", failures " + twoDecimals(expectation.failureRate)
        + ", " + age;
}

bool isSlow(const UpstreamEstimate& estimate, base::TimePoint now)
{
    constexpr double slowRatio = 1.5;
    return fit(estimate, 1, now).alone * deviationOf(estimate, now) >= slowRatio;
}

bool isFailing(const UpstreamEstimate& estimate, base::TimePoint now)
{
    constexpr double failingRate = 0.1;
    constexpr double minFailures = 2;
    auto failures = decay(estimate.attemptsAt, failureHalfLife, now) * estimate.failures;
    return failures >= minFailures && estimate.failures >= failingRate * estimate.attempts;
}

}
