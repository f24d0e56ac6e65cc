#include "papayabend/query/Scatter.h"

#include "papayabend/base/Hash.h"
#include "papayabend/routing/ReplicaChoice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace papayabend::query {

namespace {

    using routing::Attempt;

    // Canary attempts use the first free one of this many upstreams of the fixed order, so that concurrent canary
    // attempts of one request on several hosts risk the same few upstreams.
    constexpr size_t canaryChoices = 2;

    struct CanaryTarget {
        uint64_t score { 0 };
        size_t shard { 0 };
        catalog::UpstreamId upstream {};
    };

    const routing::RoutingSettings& settingsOf(const SearchContext& context) { return context.upstreams.settings(); }

    routing::ReplicaQuery queryOf(const Search& search, size_t n)
    {
        routing::ReplicaQuery query;
        query.replicas = search.snapshot->shards[n].replicas;
        query.excluded = search.shards[n].tried;
        query.snapshot = search.snapshot->id;
        query.key = search.request.query;
        return query;
    }

    base::TimePoint upstreamDeadline(
        const Search& search, SearchContext& context, catalog::UpstreamId upstream, base::TimePoint now)
    {
        auto returnDelay = base::Duration(static_cast<int64_t>(context.upstreams.state(upstream).returnDelayUs.load()));
        // A wrong estimate must not use up the time of the upstream.
        return search.request.deadline - std::min(returnDelay, (search.request.deadline - now) / 4);
    }

    base::Duration hedgeDelay(const Search& search, const SearchContext& context)
    {
        const auto& hedging = settingsOf(context).hedging;
        auto delay = context.routing.latencies.quantile(search.request.service, hedging.quantile, hedging.initialDelay);
        return std::max(delay, hedging.minDelay);
    }

    void send(Search& search, SearchContext& context, size_t n, catalog::UpstreamId upstream, SearchStep& step,
        base::TimePoint now)
    {
        const auto& shard = search.snapshot->shards[n];
        auto& progress = search.shards[n];
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
        progress.open.push_back({ attempt.id, upstream, now });
        progress.tried.push_back(upstream);
        progress.hedgeAt = now + hedgeDelay(search, context);
        progress.isWaiting = false;
        progress.retryAt.reset();
        if (progress.sent++ == 0)
            for (auto* budget : { &context.routing.hedges, &context.routing.retries })
                budget->needed(search.request.account, 1, settingsOf(context).hedging.window, now);
        context.routing.latencies.recordPressure(search.request.service, 1, 0, now);
        ++search.answer.attempts;
        step.send.push_back(std::move(attempt));
    }

    void wait(Search& search, SearchContext& context, size_t n, SearchStep& step, base::TimePoint now)
    {
        auto& progress = search.shards[n];
        if (progress.isWaiting)
            return;
        progress.isWaiting = true;
        context.routing.latencies.recordPressure(search.request.service, 0, 1, now);
        const auto& replicas = search.snapshot->shards[n].replicas;
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

    std::vector<CanaryTarget> canaryOrder(const Search& search, SearchContext& context, base::TimePoint now)
    {
        std::vector<CanaryTarget> targets;
        for (size_t n = 0; n < search.shards.size(); ++n) {
            for (auto id : search.snapshot->shards[n].replicas) {
                if (!routing::isUsable(context.upstreams, *search.catalog, id, search.snapshot->id, now)
                    || std::ranges::find(search.canaryTried, id) != search.canaryTried.end())
                    continue;
                const auto* upstream = catalog::findUpstream(*search.catalog, id);
                targets.push_back({ base::hash(upstream->name, search.fingerprint), n, id });
            }
        }
        auto count = std::min(canaryChoices, targets.size());
        std::ranges::partial_sort(
            targets, targets.begin() + static_cast<std::ptrdiff_t>(count), std::greater {}, &CanaryTarget::score);
        targets.resize(count);
        return targets;
    }

}

bool hasTimeForAttempt(const Search& search, const SearchContext& context, base::TimePoint now)
{
    auto median = context.routing.latencies.quantile(search.request.service, 0.5, base::Duration::zero());
    return now + median / 2 < search.request.deadline;
}

bool takeRetry(Search& search, SearchContext& context, const ShardProgress& progress, base::TimePoint now)
{
    const auto& settings = settingsOf(context);
    return progress.sent <= settings.retries.perShard
        && context.routing.retries.tryTake(
            search.request.account, settings.retries.budget, settings.retries.burst, settings.hedging.window, now);
}

void sendNext(Search& search, SearchContext& context, size_t n, SearchStep& step, base::TimePoint now)
{
    auto& progress = search.shards[n];
    if (!hasTimeForAttempt(search, context, now))
        return giveUp(progress, "deadline_too_short");
    auto query = queryOf(search, n);
    if (auto upstream = routing::chooseReplica(context.upstreams, *search.catalog, query, context.random, now))
        return send(search, context, n, *upstream, step, now);
    if (routing::hasUsableReplica(context.upstreams, *search.catalog, query, now))
        return wait(search, context, n, step, now);
    giveUp(progress, "no_replica");
}

void fanOut(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    search.phase = SearchPhase::FanOut;
    search.canaryAt.reset();
    for (size_t n = 0; n < search.shards.size(); ++n) {
        const auto& progress = search.shards[n];
        if (progress.isAnswered || progress.isGivenUp || progress.isWaiting || !progress.open.empty())
            continue;
        search.shards[n].tried.clear();
        sendNext(search, context, n, step, now);
    }
}

void sendCanary(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    search.canaryAt.reset();
    auto targets = canaryOrder(search, context, now);
    if (targets.empty()) {
        for (auto& progress : search.shards)
            giveUp(progress, "no_replica");
        return;
    }
    auto isFree = [&](const CanaryTarget& target) {
        return routing::hasFreeSlot(context.upstreams, *catalog::findUpstream(*search.catalog, target.upstream));
    };
    auto it = std::ranges::find_if(targets, isFree);
    if (it != targets.end()) {
        search.canaryTried.push_back(it->upstream);
        search.isCanaryWaiting = false;
        return send(search, context, it->shard, it->upstream, step, now);
    }
    context.routing.latencies.recordPressure(search.request.service, 0, 1, now);
    // The wait for a slot ends with slotFreed(); the time is a backstop.
    search.canaryAt = now + std::chrono::milliseconds(10);
    if (!std::exchange(search.isCanaryWaiting, true))
        std::ranges::transform(targets, std::back_inserter(step.waitFor), &CanaryTarget::upstream);
}

void sendHedges(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
{
    const auto& hedging = settingsOf(context).hedging;
    if (!hedging.enabled)
        return;
    auto isOverloaded = context.routing.latencies.isOverloaded(search.request.service, hedging.overloadShare, now);
    for (size_t n = 0; n < search.shards.size(); ++n) {
        auto& progress = search.shards[n];
        if (progress.isAnswered || progress.open.size() != 1 || !progress.mayHedge || now < progress.hedgeAt)
            continue;
        progress.hedgeAt = now + hedgeDelay(search, context);
        if (isOverloaded || progress.sent > settingsOf(context).retries.perShard
            || !hasTimeForAttempt(search, context, now))
            continue;
        auto query = queryOf(search, n);
        query.isHedge = true;
        query.avoidedDomain = catalog::findUpstream(*search.catalog, progress.open.front().upstream)->failureDomain;
        auto upstream = routing::chooseReplica(context.upstreams, *search.catalog, query, context.random, now);
        if (!upstream
            || !context.routing.hedges.tryTake(search.request.account, hedging.budget, 0, hedging.window, now))
            continue;
        if (search.phase == SearchPhase::Canary)
            search.canaryTried.push_back(*upstream);
        send(search, context, n, *upstream, step, now);
    }
}

void cancelOpen(Search& search, SearchContext& context, ShardProgress& progress, SearchStep& step, base::TimePoint now)
{
    for (const auto& it : progress.open) {
        step.cancel.push_back(it.id);
        // Without the times of slow attempts that lost, the quantile would fall and hedges would multiply.
        context.routing.latencies.record(search.request.service, now - it.sent);
    }
    progress.open.clear();
}

}
