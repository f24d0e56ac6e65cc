#pragma once

#include "dispatch/UpstreamSimulation.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace papayabend::dispatch::simulation {

/** The ways to choose that docs/design/learned-capacity.md compares with the one that is built. */

inline double milliseconds(base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** Chooses the upstream with the lowest score, at random among equal ones. */
class ScoringPolicy : public Policy {
public:
    explicit ScoringPolicy(uint64_t seed)
        : m_random(seed)
    {
    }

    size_t choose(std::span<const Candidate> candidates, const ChoiceInputs&) override
    {
        std::optional<size_t> best;
        double bestScore = 0;
        for (size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].isTried)
                continue;
            auto value
                = score(n, static_cast<double>(candidates[n].load->sentAt.size())) + 1e-6 * base::uniform(m_random);
            if (!best || value < bestScore) {
                best = n;
                bestScore = value;
            }
        }
        return *best;
    }

protected:
    virtual double score(size_t upstream, double inFlight) = 0;

    static bool isGood(const AttemptResult& result)
    {
        return result.end == AttemptEnd::Answered && result.duration <= result.objective / 2;
    }

    base::Random m_random;
};

/** A bound of concurrency for each upstream, chosen by the part of it that is in use. */
class BoundedPolicy : public ScoringPolicy {
public:
    using ScoringPolicy::ScoringPolicy;

protected:
    double& bound(size_t upstream)
    {
        if (m_bounds.size() <= upstream)
            m_bounds.resize(upstream + 1, 2);
        return m_bounds[upstream];
    }

    double score(size_t upstream, double inFlight) override { return (inFlight + 1) / bound(upstream); }

private:
    std::vector<double> m_bounds;
};

/** Additive increase with each timely answer, multiplicative decrease with each late or failed one. */
class AimdPolicy : public BoundedPolicy {
public:
    using BoundedPolicy::BoundedPolicy;

    void attemptEnded(
        size_t upstream, UpstreamLoad&, const Expectation&, const AttemptResult& result, base::TimePoint) override
    {
        auto& it = bound(upstream);
        it = isGood(result) ? std::min(it + 1 / it, 100.0) : std::max(0.7 * it, 0.5);
    }
};

/** The bound follows the quotient of the shortest and the present latency. */
class GradientPolicy : public BoundedPolicy {
public:
    using BoundedPolicy::BoundedPolicy;

    void attemptEnded(
        size_t upstream, UpstreamLoad&, const Expectation&, const AttemptResult& result, base::TimePoint) override
    {
        m_means.resize(std::max(m_means.size(), upstream + 1));
        auto& mean = m_means[upstream];
        auto latency = milliseconds(result.duration);
        mean.slow = mean.slow == 0 ? latency : mean.slow + 0.02 * (latency - mean.slow);
        mean.fast = mean.fast == 0 ? latency : mean.fast + 0.2 * (latency - mean.fast);
        auto gradient = result.end == AttemptEnd::Answered ? std::clamp(1.5 * mean.slow / mean.fast, 0.5, 1.0) : 0.5;
        auto& it = bound(upstream);
        it = std::clamp(0.8 * it + 0.2 * (it * gradient + std::sqrt(it)), 0.5, 100.0);
    }

private:
    struct Means {
        double slow { 0 };
        double fast { 0 };
    };

    std::vector<Means> m_means;
};

/** The bound is the highest throughput times the shortest latency of the last seconds, the knee of the throughput. */
class KneePolicy : public BoundedPolicy {
public:
    using BoundedPolicy::BoundedPolicy;

    void attemptEnded(size_t upstream, UpstreamLoad& load, const Expectation&, const AttemptResult& result,
        base::TimePoint now) override
    {
        m_samples.resize(std::max(m_samples.size(), upstream + 1));
        auto& samples = m_samples[upstream];
        auto isAnswered = result.end == AttemptEnd::Answered;
        auto latency = std::max(milliseconds(result.duration), 0.1);
        samples.push_back({ now, latency, isAnswered ? static_cast<double>(load.sentAt.size() + 1) / latency : 0 });
        while (samples.front().at < now - std::chrono::seconds(5))
            samples.pop_front();
        auto shortest = std::ranges::min(samples, {}, &Sample::latency).latency;
        auto highest = std::ranges::max(samples, {}, &Sample::throughput).throughput;
        bound(upstream) = std::max(highest * shortest, 0.5);
    }

private:
    struct Sample {
        base::TimePoint at;
        double latency;
        double throughput;
    };

    std::vector<std::deque<Sample>> m_samples;
};

/** The better one of two random upstreams, by a mean of the latency that rises at once and falls slowly. */
class TwoChoicesPolicy : public ScoringPolicy {
public:
    using ScoringPolicy::ScoringPolicy;

    size_t choose(std::span<const Candidate> candidates, const ChoiceInputs& inputs) override
    {
        std::vector<size_t> untried;
        for (size_t n = 0; n < candidates.size(); ++n) {
            if (!candidates[n].isTried)
                untried.push_back(n);
        }
        m_now = inputs.now;
        std::ranges::shuffle(untried, m_random);
        auto better = [&](size_t n) { return score(n, static_cast<double>(candidates[n].load->sentAt.size())); };
        return untried.size() < 2 || better(untried[0]) <= better(untried[1]) ? untried[0] : untried[1];
    }

    void attemptEnded(
        size_t upstream, UpstreamLoad&, const Expectation&, const AttemptResult& result, base::TimePoint now) override
    {
        m_now = now;
        auto latency = milliseconds(result.end == AttemptEnd::Failed ? result.objective : result.duration);
        auto& it = mean(upstream);
        it.value = std::max(latency, present(it) + 0.2 * (latency - present(it)));
        it.at = now;
    }

protected:
    double score(size_t upstream, double inFlight) override { return present(mean(upstream)) * (inFlight + 1); }

private:
    struct Mean {
        double value { 0 };
        base::TimePoint at {};
    };

    Mean& mean(size_t upstream)
    {
        if (m_means.size() <= upstream)
            m_means.resize(upstream + 1, { 20, m_now });
        return m_means[upstream];
    }

    /** Without answers the mean halves each second. */
    double present(const Mean& it) const
    {
        return it.value * std::exp2(-std::chrono::duration<double>(m_now - it.at).count());
    }

    std::vector<Mean> m_means;
    base::TimePoint m_now {};
};

template <typename T> std::unique_ptr<Policy> make(uint64_t seed) { return std::make_unique<T>(seed); }

}
