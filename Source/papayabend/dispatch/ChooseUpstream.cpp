#include "papayabend/dispatch/ChooseUpstream.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dispatch {

namespace {

    // Weight of a new latency sample.
    constexpr double sampleWeight = 0.2;
    constexpr double minLatencyRatio = 0.3;
    constexpr double maxLatencyRatio = 30;
    // Without new samples the latency ratio returns towards 1, so that an upstream that was slow is tried again.
    constexpr base::Duration latencyRatioHalfLife { std::chrono::seconds(3) };
    constexpr base::Duration minFailurePause { std::chrono::milliseconds(200) };
    constexpr base::Duration maxFailurePause { std::chrono::milliseconds(1600) };
    // Each request that is sent to the address counts as a retry at the service of the upstream that has it now. The
    // address normally stays with that upstream; the pause ends in case the report was wrong.
    constexpr base::Duration misdirectionPause { std::chrono::seconds(10) };
    // Time after which the inferred bound allows one more connection. An upstream counts the connections of hosts that
    // lost power until it closes idle ones, some seconds later.
    constexpr base::Duration connectionGrowth { std::chrono::seconds(1) };
    // Pause after a refused connection while none is open; doubles up to 0.8 s. Upstreams close the connections of lost
    // hosts within seconds; until then, hosts that reconnect at once keep each other from connecting.
    constexpr base::Duration minConnectPause { std::chrono::milliseconds(100) };
    constexpr uint32_t maxConnectDoublings = 3;
    // Time to open a connection, of the order that operators state for their upstreams.
    constexpr base::Duration connectTime { std::chrono::milliseconds(6) };
    // Links between failure domains cost more: an upstream in another one is chosen only if it is faster by this
    // factor.
    constexpr double remoteFactor = 1.25;
    // The same as far as the expected time contains that of the link: with the full factor, the upstream of the own
    // failure domain got more than it handles well, and attempts a request rose.
    constexpr double learnedRemoteFactor = 1.1;

    // Share of the expected latency by which each request in flight delays the next one; below 1, since upstreams run
    // several requests in parallel.
    constexpr double inFlightShare = 0.5;
    constexpr double warmUpFactor = 1.6;
    // Cost of a failure as shares of the time left until the objective: a repeated request still uses an attempt more,
    // which loads the other upstreams; one that cannot be repeated fails for good. A quarter instead of the whole time
    // gave twice as many unanswered requests with an upstream that fails four in ten.
    constexpr double repeatedFailureShare = 1;
    constexpr double finalFailureShare = 4;
    // A request that takes this many times as long as a new one is expected to take shows a stalled upstream.
    constexpr double stallFactor = 2;
    // Least age of the newest evidence before an upstream is probed; it is slow for about half a second at a time.
    constexpr base::Duration minProbeAge { std::chrono::milliseconds(250) };

    /** Returns the latency ratio as of \a now; it decays towards 1 after the newest sample. */
    double decayedLatencyRatio(const UpstreamLoad& load, base::TimePoint now)
    {
        auto age = std::chrono::duration<double>(now - load.latencyRatioAt)
            / std::chrono::duration<double>(latencyRatioHalfLife);
        return 1 + (load.latencyRatio - 1) * std::exp2(-std::max(age, 0.0));
    }

    /** Returns the preference class of a candidate: 0 is the best; the candidates of the lowest class are preferred. */
    int preferenceClass(const Candidate& candidate, base::TimePoint now)
    {
        auto result = candidate.entry->presence == discovery::Presence::Missing ? 4 : 0;
        if (candidate.entry->record.isDraining)
            result += 8;
        auto isUnreachable = candidate.load->openConnections == 0 && !acceptsConnections(*candidate.load, now);
        if (candidate.load->failurePauseUntil > now || isUnreachable)
            result += 2;
        if (candidate.load->fullUntil > now)
            result += 1;
        return result;
    }

    /** Returns the median latency in microseconds, at least one millisecond. */
    double medianOf(const ChoiceInputs& inputs)
    {
        return static_cast<double>(std::max<int64_t>(inputs.medianLatency.count(), 1000));
    }

    /** Returns the expected time in microseconds, which is \a time for an upstream that is near, warm and connected. \a
     * remoteness: factor for an upstream in another failure domain. An upstream with a request in flight for longer
     * than \a stallTime is regarded as stalled. */
    double timeOf(const Candidate& candidate, const ChoiceInputs& inputs, double time, double remoteness,
        base::Duration stallTime)
    {
        const auto& load = *candidate.load;
        auto medianLatency = medianOf(inputs);
        if (candidate.isRemote)
            time *= remoteness;
        if (candidate.entry->record.warmUpLeft > inputs.now - candidate.entry->reportedAt)
            time *= warmUpFactor;
        if (load.idleConnections == 0)
            time += static_cast<double>(connectTime.count());
        if (load.idleConnections == 0 && load.openConnections >= connectionLimit(load, inputs.now))
            time += medianLatency * (1 + load.waiting);
        if (!load.sentAt.empty()) {
            auto oldest = inputs.now - load.sentAt.front();
            if (oldest > stallTime)
                time += 4 * medianLatency + static_cast<double>(oldest.count());
        }
        return time;
    }

    /** Returns the expected time and cost of a failure, as far as \a expectation goes. */
    base::Duration expectedCost(const Candidate& candidate, const ChoiceInputs& inputs, const Expectation& expectation)
    {
        auto share = inputs.learned->isRepeatable ? repeatedFailureShare : finalFailureShare;
        auto objectiveLeft = std::max<int64_t>(inputs.learned->objectiveLeft.count(), 0);
        auto failureCost = static_cast<double>((inputs.hedgeDelay + inputs.medianLatency).count())
            + share * static_cast<double>(objectiveLeft);
        auto time = medianOf(inputs) * expectation.latencyRatio();
        // Where requests queue, all of them take longer than the usual delay of a hedge.
        auto stallTime = std::max(inputs.hedgeDelay, base::Duration(static_cast<int64_t>(stallFactor * time)));
        auto remoteness = std::lerp(remoteFactor, learnedRemoteFactor, expectation.evidence);
        time = timeOf(candidate, inputs, time, remoteness, stallTime) + expectation.failureRate * failureCost;
        return base::Duration(static_cast<int64_t>(time));
    }

    /** Returns whether only the evidence about the candidate keeps it from being chosen instead of one that costs \a
     * best. */
    bool isProbeDue(
        const Candidate& candidate, const ServiceMean& service, const ChoiceInputs& inputs, base::Duration best)
    {
        const auto& load = *candidate.load;
        if (load.estimate.passedOver < probeInterval || !load.sentAt.empty() || load.waiting > 0
            || inputs.now - load.estimate.newestAt < minProbeAge)
            return false;
        Expectation usual { .steadyRatio = service.latencyRatio, .failureRate = service.failureRate };
        return expectedCost(candidate, inputs, usual) <= best;
    }

}

void beginProcess(UpstreamLoad& load, const discovery::UpstreamRecord& record)
{
    if (!beginProcess(load.estimate, record))
        return;
    load.failurePauseUntil = {};
    load.consecutiveFailures = 0;
    load.fullUntil = {};
}

void addLatency(UpstreamLoad& load, base::Duration latency, base::Duration medianLatency, base::TimePoint now)
{
    load.consecutiveFailures = 0;
    load.failurePauseUntil = {};
    load.consecutiveRefusals = 0;
    load.connectPauseUntil = {};
    if (medianLatency.count() <= 0)
        return;
    auto sample = std::clamp(static_cast<double>(latency.count()) / static_cast<double>(medianLatency.count()),
        minLatencyRatio, maxLatencyRatio);
    load.latencyRatio = (1 - sampleWeight) * decayedLatencyRatio(load, now) + sampleWeight * sample;
    load.latencyRatioAt = now;
}

void addFailure(UpstreamLoad& load, base::TimePoint now)
{
    auto pause = minFailurePause * (1 << std::min(load.consecutiveFailures, 3U));
    load.failurePauseUntil = now + std::min<base::Duration>(pause, maxFailurePause);
    ++load.consecutiveFailures;
}

void addRefusedConnection(UpstreamLoad& load, uint32_t otherConnections, base::TimePoint now)
{
    load.acceptedConnections = std::max(otherConnections, 1U);
    load.acceptedChangedAt = now;
    if (otherConnections > 0)
        return;
    load.connectPauseUntil = now + minConnectPause * (1 << std::min(load.consecutiveRefusals, maxConnectDoublings));
    ++load.consecutiveRefusals;
}

bool acceptsConnections(const UpstreamLoad& load, base::TimePoint now) { return now >= load.connectPauseUntil; }

uint32_t connectionLimit(const UpstreamLoad& load, base::TimePoint now)
{
    if (load.acceptedConnections >= load.maxConnections)
        return load.maxConnections;
    auto grown = static_cast<uint64_t>((now - load.acceptedChangedAt) / connectionGrowth);
    return static_cast<uint32_t>(std::min<uint64_t>(load.acceptedConnections + grown, load.maxConnections));
}

void addMisdirection(UpstreamLoad& load, base::TimePoint now) { load.misdirectedUntil = now + misdirectionPause; }

bool isUsable(const Candidate& candidate, bool hasListed, base::TimePoint now)
{
    if (candidate.isTried || candidate.isHeldBack)
        return false;
    return reasonByListing({ *candidate.entry, candidate.load->misdirectedUntil }, hasListed, now) == GateReason::None;
}

base::Duration expectedTime(const Candidate& candidate, const ChoiceInputs& inputs)
{
    const auto& load = *candidate.load;
    auto inFlight = static_cast<double>(load.sentAt.size() + load.waiting);
    auto time = medianOf(inputs) * decayedLatencyRatio(load, inputs.now) * (1 + inFlightShare * inFlight);
    return base::Duration(static_cast<int64_t>(timeOf(candidate, inputs, time, remoteFactor, inputs.hedgeDelay)));
}

ServiceMean serviceMean(std::span<const Candidate> candidates, base::TimePoint now)
{
    std::vector<const UpstreamEstimate*> estimates;
    estimates.reserve(candidates.size());
    std::ranges::transform(
        candidates, std::back_inserter(estimates), [](const auto& it) { return &it.load->estimate; });
    return serviceMean(estimates, now);
}

Expectation expectationOf(const Candidate& candidate, const ServiceMean& service, base::TimePoint now)
{
    const auto& load = *candidate.load;
    return expect(load.estimate, service, static_cast<double>(load.sentAt.size() + load.waiting), now);
}

std::optional<size_t> chooseUpstream(std::span<const Candidate> candidates, const ChoiceInputs& inputs)
{
    std::optional<size_t> best;
    std::pair<int, base::Duration> bestRank;
    auto service = inputs.learned ? serviceMean(candidates, inputs.now) : ServiceMean {};
    auto hasListed = std::ranges::any_of(candidates, [](const auto& it) { return isListed(*it.entry); });
    auto isPossible = [&](const Candidate& it) { return isUsable(it, hasListed, inputs.now); };
    for (size_t n = 0; n < candidates.size(); ++n) {
        const auto& candidate = candidates[n];
        if (!isPossible(candidate))
            continue;
        auto time = inputs.learned ? expectedCost(candidate, inputs, expectationOf(candidate, service, inputs.now))
                                   : expectedTime(candidate, inputs);
        std::pair rank { preferenceClass(candidate, inputs.now), time };
        if (!best || rank < bestRank) {
            best = n;
            bestRank = rank;
        }
    }
    if (!best || !inputs.learned || !inputs.learned->mayProbe)
        return best;
    for (size_t n = 0; n < candidates.size(); ++n) {
        const auto& candidate = candidates[n];
        if (n != *best && isPossible(candidate) && preferenceClass(candidate, inputs.now) == 0
            && isProbeDue(candidate, service, inputs, bestRank.second))
            return n;
    }
    return best;
}

}
