#include "papayabend/query/Scatter.h"

#include "papayabend/base/Hash.h"
#include "papayabend/routing/ReplicaChoice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace papayabend::query {

namespace {

    using routing::Attempt;

    // A canary attempt goes to the first candidate with a free slot. All hosts order the upstreams alike and consider
    // only this many, so that hosts that try the same request at the same time put the same few upstreams at risk.
    constexpr size_t maxCanaryCandidates = 2;

    constexpr base::Duration canarySlotCheckPeriod = std::chrono::milliseconds(10);

    struct CanaryCandidate {
        uint64_t score { 0 };
        size_t shardIndex { 0 };
        catalog::UpstreamId upstream {};
    };

    const routing::RoutingSettings& settingsOf(const SearchContext& context) { return context.upstreams.settings(); }

    routing::ReplicaQuery replicaQueryFor(const Search& search, size_t shardIndex)
    {
        routing::ReplicaQuery query;
        query.replicas = search.snapshot->shards[shardIndex].replicas;
        query.excluded = search.shards[shardIndex].triedUpstreams;
        query.snapshot = search.snapshot->id;
        query.key = search.request.query;
        return query;
    }

    base::TimePoint upstreamDeadline(
        const Search& search, SearchContext& context, catalog::UpstreamId upstream, base::TimePoint now)
    {
        auto returnDelay = base::Duration(static_cast<int64_t>(context.upstreams.state(upstream).returnDelayUs.load()));
        // The bound leaves the upstream three quarters of the time, even if the estimate is far too high.
        return search.request.deadline - std::min(returnDelay, (search.request.deadline - now) / 4);
    }

    base::Duration hedgeDelay(const Search& search, const SearchContext& context)
    {
        const auto& hedging = settingsOf(context).hedging;
        auto delay
            = context.routing.attemptLatencies.quantile(search.request.service, hedging.quantile, hedging.initialDelay);
        return std::max(delay, hedging.minDelay);
    }

    void sendAttempt(Search& search, SearchContext& context, size_t shardIndex, catalog::UpstreamId upstream,
        SearchStep& step, base::TimePoint now)
    {
        const auto& shard = search.snapshot->shards[shardIndex];
        auto& progress = search.shards[shardIndex];
        Attempt attempt;
        attempt.id = ++context.lastAttempt;
        attempt.request = search.request.id;
        attempt.upstream = upstream;
        attempt.address = catalog::findUpstream(*search.catalog, upstream)->address;
        attempt.service = search.request.service;
        attempt.shard = shard.name;
        attempt.snapshot = search.snapshot->id;
        attempt.body = search.request.query;
        attempt.maxHits = search.request.maxHits;
        attempt.deadline = upstreamDeadline(search, context, upstream, now);
        routing::attemptStarted(context.upstreams, attempt, now);
        progress.openAttempts.push_back({ attempt.id, upstream, now });
        progress.triedUpstreams.push_back(upstream);
        progress.hedgeAt = now + hedgeDelay(search, context);
        progress.isWaiting = false;
        progress.retryAt.reset();
        if (progress.attemptsSent++ == 0)
            for (auto* budget : { &context.routing.hedgeBudget, &context.routing.retryBudget })
                budget->recordNeeded(search.request.account, 1, settingsOf(context).hedging.window, now);
        context.routing.attemptLatencies.countAttempts(search.request.service, 1, 0, now);
        ++search.answer.attempts;
        step.send.push_back(std::move(attempt));
    }

    void waitForSlot(Search& search, SearchContext& context, size_t shardIndex, SearchStep& step, base::TimePoint now)
    {
        auto& progress = search.shards[shardIndex];
        if (progress.isWaiting)
            return;
        progress.isWaiting = true;
        context.routing.attemptLatencies.countAttempts(search.request.service, 0, 1, now);
        const auto& replicas = search.snapshot->shards[shardIndex].replicas;
        step.waitFor.insert(step.waitFor.end(), replicas.begin(), replicas.end());
    }

    void giveUp(ShardProgress& progress, std::string_view reason)
    {
        progress.isGivenUp = true;
        progress.isWaiting = false;
        progress.retryAt.reset();
        if (progress.lastFailure.empty())
            progress.lastFailure = reason;
    }

    std::vector<CanaryCandidate> canaryCandidates(const Search& search, SearchContext& context, base::TimePoint now)
    {
        std::vector<CanaryCandidate> candidates;
        for (size_t n = 0; n < search.shards.size(); ++n) {
            for (auto id : search.snapshot->shards[n].replicas) {
                if (!routing::isUsable(context.upstreams, *search.catalog, id, search.snapshot->id, now)
                    || std::ranges::find(search.triedCanaryUpstreams, id) != search.triedCanaryUpstreams.end())
                    continue;
                const auto* upstream = catalog::findUpstream(*search.catalog, id);
                candidates.push_back({ base::hash(upstream->name, search.fingerprint), n, id });
            }
        }
        auto count = std::min(maxCanaryCandidates, candidates.size());
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), std::greater {},
            &CanaryCandidate::score);
        candidates.resize(count);
        return candidates;
    }

}

bool hasTimeForAttempt(const Search& search, const SearchContext& context, base::TimePoint now)
{
    auto median = context.routing.attemptLatencies.quantile(search.request.service, 0.5, base::Duration::zero());
    return now + median / 2 < search.request.deadline;
}

bool tryTakeRetry(Search& search, SearchContext& context, const ShardProgress& progress, base::TimePoint now)
{
    const auto& settings = settingsOf(context);
    return progress.attemptsSent <= settings.retries.perShard
        && context.routing.retryBudget.tryTake(
            search.request.account, settings.retries.budget, settings.retries.burst, settings.hedging.window, now);
}

void sendNext(Search& search, SearchContext& context, size_t shardIndex, SearchStep& step, base::TimePoint now)
{
    auto& progress = search.shards[shardIndex];
    if (!hasTimeForAttempt(search, context, now))
        return giveUp(progress, "deadline_too_short");
    auto query = replicaQueryFor(search, shardIndex);
    if (auto upstream = routing::chooseReplica(context.upstreams, *search.catalog, query, context.random, now))
        return sendAttempt(search, context, shardIndex, *upstream, step, now);
    if (routing::hasUsableReplica(context.upstreams, *search.catalog, query, now))
        return waitForSlot(search, context, shardIndex, step, now);
    giveUp(progress, "no_replica");
}

void fanOut(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    search.phase = SearchPhase::FanOut;
    search.canaryAt.reset();
    for (size_t n = 0; n < search.shards.size(); ++n) {
        const auto& progress = search.shards[n];
        if (progress.isAnswered || progress.isGivenUp || progress.isWaiting || !progress.openAttempts.empty())
            continue;
        search.shards[n].triedUpstreams.clear();
        sendNext(search, context, n, step, now);
    }
}

void sendCanary(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    search.canaryAt.reset();
    auto candidates = canaryCandidates(search, context, now);
    if (candidates.empty()) {
        for (auto& progress : search.shards)
            giveUp(progress, "no_replica");
        return;
    }
    auto isFree = [&](const CanaryCandidate& candidate) {
        return routing::hasFreeSlot(context.upstreams, *catalog::findUpstream(*search.catalog, candidate.upstream));
    };
    auto it = std::ranges::find_if(candidates, isFree);
    if (it != candidates.end()) {
        search.triedCanaryUpstreams.push_back(it->upstream);
        search.isCanaryWaiting = false;
        return sendAttempt(search, context, it->shardIndex, it->upstream, step, now);
    }
    context.routing.attemptLatencies.countAttempts(search.request.service, 0, 1, now);
    // slotFreed() normally ends the wait for a slot; the timer is a fallback.
    search.canaryAt = now + canarySlotCheckPeriod;
    if (!std::exchange(search.isCanaryWaiting, true))
        std::ranges::transform(candidates, std::back_inserter(step.waitFor), &CanaryCandidate::upstream);
}

void sendHedges(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    const auto& hedging = settingsOf(context).hedging;
    if (!hedging.enabled)
        return;
    auto isOverloaded
        = context.routing.attemptLatencies.isOverloaded(search.request.service, hedging.overloadShare, now);
    for (size_t n = 0; n < search.shards.size(); ++n) {
        auto& progress = search.shards[n];
        if (progress.isAnswered || progress.openAttempts.size() != 1 || !progress.mayHedge || now < progress.hedgeAt)
            continue;
        progress.hedgeAt = now + hedgeDelay(search, context);
        if (isOverloaded || progress.attemptsSent > settingsOf(context).retries.perShard
            || !hasTimeForAttempt(search, context, now))
            continue;
        auto query = replicaQueryFor(search, n);
        query.isHedge = true;
        query.avoidedDomain
            = catalog::findUpstream(*search.catalog, progress.openAttempts.front().upstream)->failureDomain;
        auto upstream = routing::chooseReplica(context.upstreams, *search.catalog, query, context.random, now);
        if (!upstream
            || !context.routing.hedgeBudget.tryTake(search.request.account, hedging.budget, 0, hedging.window, now))
            continue;
        if (search.phase == SearchPhase::Canary)
            search.triedCanaryUpstreams.push_back(*upstream);
        sendAttempt(search, context, n, *upstream, step, now);
    }
}

void cancelOpenAttempts(
    Search& search, SearchContext& context, ShardProgress& progress, SearchStep& step, base::TimePoint now)
{
    for (const auto& it : progress.openAttempts) {
        step.cancel.push_back(it.id);
        // Cancelled attempts count, too: without these slow ones, the quantile would fall and cause more hedges.
        context.routing.attemptLatencies.record(search.request.service, now - it.sentAt);
    }
    progress.openAttempts.clear();
}

}
