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
    // Share of the expected latency by which each request in flight delays the next one; below 1, since upstreams run
    // several requests in parallel.
    constexpr double inFlightShare = 0.5;
    constexpr double warmUpFactor = 1.6;

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
    auto medianLatency = static_cast<double>(std::max<int64_t>(inputs.medianLatency.count(), 1000));
    auto inFlight = static_cast<double>(load.sentAt.size() + load.waiting);
    auto time = medianLatency * decayedLatencyRatio(load, inputs.now) * (1 + inFlightShare * inFlight);
    if (candidate.isRemote)
        time *= remoteFactor;
    if (candidate.entry->record.warmUpLeft > inputs.now - candidate.entry->reportedAt)
        time *= warmUpFactor;
    if (load.idleConnections == 0)
        time += static_cast<double>(connectTime.count());
    if (load.idleConnections == 0 && load.openConnections >= connectionLimit(load, inputs.now))
        time += medianLatency * (1 + load.waiting);
    if (!load.sentAt.empty()) {
        auto oldest = inputs.now - load.sentAt.front();
        if (oldest > inputs.hedgeDelay)
            time += 4 * medianLatency + static_cast<double>(oldest.count());
    }
    return base::Duration(static_cast<int64_t>(time));
}

std::optional<size_t> chooseUpstream(std::span<const Candidate> candidates, const ChoiceInputs& inputs)
{
    std::optional<size_t> best;
    std::pair<int, base::Duration> bestRank;
    auto hasListed = std::ranges::any_of(candidates, [](const auto& it) { return isListed(*it.entry); });
    for (size_t n = 0; n < candidates.size(); ++n) {
        const auto& candidate = candidates[n];
        if (!isUsable(candidate, hasListed, inputs.now))
            continue;
        std::pair rank { preferenceClass(candidate, inputs.now), expectedTime(candidate, inputs) };
        if (!best || rank < bestRank) {
            best = n;
            bestRank = rank;
        }
    }
    return best;
}

}
