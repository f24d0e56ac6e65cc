#include "papayabend/dispatch/ChooseUpstream.h"

#include <algorithm>
#include <cmath>

namespace papayabend::dispatch {

namespace {

    // Weight of a new latency sample.
    constexpr double sampleWeight = 0.2;
    constexpr double minLatencyRatio = 0.3;
    constexpr double maxLatencyRatio = 30;
    // Time in which an old estimate loses half of its distance from 1, so that a slow upstream is tried again.
    constexpr base::Duration latencyRatioHalfLife { std::chrono::seconds(3) };
    constexpr base::Duration minPause { std::chrono::milliseconds(200) };
    constexpr base::Duration maxPause { std::chrono::milliseconds(1600) };
    // An address that another upstream has stays with it; the pause bounds the harm of a wrong answer. Each request
    // that goes there counts as a repeat at the service of that other upstream.
    constexpr base::Duration misdirectionPause { std::chrono::seconds(10) };
    // Time after which one connection more is tried. Connections of hosts that lost power count at an upstream until it
    // closes idle ones, some seconds later.
    constexpr base::Duration connectionGrowth { std::chrono::seconds(1) };
    // Pause after a refused connection while none is open; doubles up to 0.8 s. Upstreams drop the connections of lost
    // hosts within seconds, and hosts that try again at once keep each other out.
    constexpr base::Duration minConnectPause { std::chrono::milliseconds(100) };
    constexpr uint32_t maxConnectDoublings = 3;
    // Time to open a connection, of the order that the operators state for their upstreams.
    constexpr base::Duration connectTime { std::chrono::milliseconds(6) };
    // Links between failure domains cost more; an upstream there is taken if it is faster by this factor.
    constexpr double remoteFactor = 1.25;
    // Share of its typical time by which a request in flight delays the next one: upstreams run some in parallel.
    constexpr double inFlightShare = 0.5;
    constexpr double warmUpFactor = 1.6;

    double latencyRatioAt(const UpstreamLoad& load, base::TimePoint now)
    {
        auto age = std::chrono::duration<double>(now - load.latencyRatioAt)
            / std::chrono::duration<double>(latencyRatioHalfLife);
        return 1 + (load.latencyRatio - 1) * std::exp2(-std::max(age, 0.0));
    }

    bool isListed(const discovery::UpstreamEntry& entry)
    {
        return entry.presence == discovery::Presence::Listed && !entry.record.isDraining;
    }

    /** 0 for the best class of candidates; higher classes are used only when the lower ones are empty. */
    int classOf(const Candidate& candidate, base::TimePoint now)
    {
        auto rank = candidate.entry->presence == discovery::Presence::Missing ? 4 : 0;
        auto isUnreachable = candidate.load->openConnections == 0 && !acceptsConnections(*candidate.load, now);
        if (candidate.load->avoidUntil > now || isUnreachable)
            rank += 2;
        if (candidate.load->fullUntil > now)
            rank += 1;
        return rank;
    }

}

void addLatency(UpstreamLoad& load, base::Duration latency, base::Duration medianLatency, base::TimePoint now)
{
    load.failures = 0;
    load.avoidUntil = {};
    load.refusedConnections = 0;
    load.noConnectUntil = {};
    if (medianLatency.count() <= 0)
        return;
    auto sample = std::clamp(static_cast<double>(latency.count()) / static_cast<double>(medianLatency.count()),
        minLatencyRatio, maxLatencyRatio);
    load.latencyRatio = (1 - sampleWeight) * latencyRatioAt(load, now) + sampleWeight * sample;
    load.latencyRatioAt = now;
}

void addFailure(UpstreamLoad& load, base::TimePoint now)
{
    auto pause = minPause * (1 << std::min(load.failures, 3U));
    load.avoidUntil = now + std::min<base::Duration>(pause, maxPause);
    ++load.failures;
}

void addRefusedConnection(UpstreamLoad& load, uint32_t others, base::TimePoint now)
{
    load.acceptedConnections = std::max(others, 1U);
    load.acceptedAt = now;
    if (others > 0)
        return;
    load.noConnectUntil = now + minConnectPause * (1 << std::min(load.refusedConnections, maxConnectDoublings));
    ++load.refusedConnections;
}

bool acceptsConnections(const UpstreamLoad& load, base::TimePoint now) { return now >= load.noConnectUntil; }

uint32_t connectionLimit(const UpstreamLoad& load, base::TimePoint now)
{
    if (load.acceptedConnections >= load.maxConnections)
        return load.maxConnections;
    auto grown = static_cast<uint64_t>((now - load.acceptedAt) / connectionGrowth);
    return static_cast<uint32_t>(std::min<uint64_t>(load.acceptedConnections + grown, load.maxConnections));
}

void addMisdirection(UpstreamLoad& load, base::TimePoint now) { load.misdirectedUntil = now + misdirectionPause; }

bool isUsable(const Candidate& candidate, base::TimePoint now)
{
    return !candidate.isTried && !candidate.entry->record.isDraining
        && candidate.entry->presence != discovery::Presence::Gone && candidate.load->misdirectedUntil <= now;
}

size_t countUsable(std::span<const discovery::UpstreamEntry* const> ofService)
{
    auto hasListed = std::ranges::any_of(ofService, [](const auto* it) { return isListed(*it); });
    return static_cast<size_t>(std::ranges::count_if(ofService, [hasListed](const auto* it) {
        return it->presence == discovery::Presence::Listed
            || (it->presence == discovery::Presence::Missing && !hasListed);
    }));
}

base::Duration expectedTime(const Candidate& candidate, const ChoiceInputs& inputs)
{
    const auto& load = *candidate.load;
    auto medianLatency = static_cast<double>(std::max<int64_t>(inputs.medianLatency.count(), 1000));
    auto inFlight = static_cast<double>(load.sentAt.size() + load.waiting);
    auto time = medianLatency * latencyRatioAt(load, inputs.now) * (1 + inFlightShare * inFlight);
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
        auto hasLeft = hasListed && candidate.entry->presence == discovery::Presence::Missing;
        if (hasLeft || !isUsable(candidate, inputs.now))
            continue;
        std::pair rank { classOf(candidate, inputs.now), expectedTime(candidate, inputs) };
        if (!best || rank < bestRank) {
            best = n;
            bestRank = rank;
        }
    }
    return best;
}

}
