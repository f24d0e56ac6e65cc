#include "papayabend/query/Search.h"

#include "papayabend/base/Hash.h"
#include "papayabend/query/Merge.h"
#include "papayabend/query/Scatter.h"
#include "papayabend/query/SnapshotChoice.h"
#include "papayabend/routing/ReplicaChoice.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <string_view>

namespace papayabend::query {

namespace {

    using routing::AttemptResult;
    using routing::AttemptStatus;

    // A restart sends all attempts again, so it needs this many median attempt latencies before the deadline.
    constexpr int restartTimeFactor = 3;
    constexpr double latestStartQuantile = 0.9;
    constexpr base::Duration overloadRetryAfter = std::chrono::seconds(1);
    constexpr base::Duration waitingCheckPeriod = std::chrono::milliseconds(20);

    bool isShardDone(const ShardProgress& progress)
    {
        return progress.isAnswered || progress.isGivenUp
            || (progress.openAttempts.empty() && !progress.isWaiting && !progress.retryAt);
    }

    bool isSearchDone(const Search& search)
    {
        if (search.phase == SearchPhase::Canary)
            return std::ranges::all_of(search.shards, &ShardProgress::isGivenUp);
        return std::ranges::all_of(search.shards, isShardDone);
    }

    void finish(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        auto& answer = search.answer;
        for (size_t n = 0; n < search.shards.size(); ++n) {
            const auto& shard = search.snapshot->shards[n];
            auto& progress = search.shards[n];
            cancelOpenAttempts(search, context, progress, step, now);
            answer.coverage.unitsTotal += shard.units;
            answer.coverage.unitsSearched += progress.unitsSearched;
            if (progress.unitsSearched < shard.units || !progress.isAnswered) {
                answer.coverage.missing.push_back({ shard.name, shard.units - progress.unitsSearched,
                    progress.isAnswered                ? "partly_searched"
                        : progress.lastFailure.empty() ? "no_answer"
                                                       : progress.lastFailure });
            }
        }
        // A search that was cut off by its deadline would have taken longer by an unknown time, so it counts double.
        auto hasReachedDeadline = now >= search.request.deadline;
        context.routing.searchDurations.record(
            search.request.service, (now - search.startedAt) * (hasReachedDeadline ? 2 : 1));
        keepBestHits(answer.hits, search.request.maxHits);
        search.phase = SearchPhase::Finished;
        step.answer = std::move(answer);
    }

    void refuse(Search& search, SearchContext& context, base::RefusalCode code, std::string detail, SearchStep& step,
        base::TimePoint now)
    {
        for (auto& progress : search.shards)
            cancelOpenAttempts(search, context, progress, step, now);
        search.phase = SearchPhase::Finished;
        step.refusal = base::Refusal { code, search.verdict, std::move(detail), {} };
    }

    void pinSnapshot(Search& search, const catalog::Snapshot& snapshot)
    {
        search.snapshot = &snapshot;
        search.shards.assign(snapshot.shards.size(), {});
        search.answer.snapshot = snapshot.id;
        search.answer.hits.clear();
        search.triedCanaryUpstreams.clear();
        search.canaryAt.reset();
    }

    /** Returns whether a shard was given up for a reason that may not hold for another snapshot. */
    bool hasLostSnapshot(const Search& search)
    {
        static constexpr std::array<std::string_view, 6> lossReasons { "no_replica", "snapshot_unavailable",
            "unknown_shard", "draining", "not_sent", "other_snapshot" };
        return std::ranges::any_of(search.shards, [](const ShardProgress& progress) {
            return progress.isGivenUp && std::ranges::find(lossReasons, progress.lastFailure) != lossReasons.end();
        });
    }

    /** Sends the next canary attempt. A request that is suspected of a crash waits for the time at which it may run
     * alone, also if the crash was seen only by another host and reported in a notice. */
    void scheduleCanary(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        auto earliest = context.routing.quarantine.soloRunStart(search.fingerprint, now);
        if (earliest > now)
            search.canaryAt = earliest;
        else
            sendCanary(search, context, step, now);
    }

    /** Sends a canary attempt if the request needs one, and starts the fan-out otherwise. */
    void sendFirstAttempts(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        const auto& quarantine = context.routing.quarantine;
        if (!search.shards.empty() && quarantine.needsCanary(search.fingerprint, search.snapshot->id, now)) {
            search.phase = SearchPhase::Canary;
            scheduleCanary(search, context, step, now);
            return;
        }
        fanOut(search, context, step, now);
    }

    /** Restarts the search once on another snapshot. Returns whether it did. */
    bool restart(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        const auto* service = catalog::findService(*context.newestCatalog, search.request.service);
        if (search.wasRestarted || !service || service->kind != catalog::ServiceKind::Sharded)
            return false;
        auto median = context.routing.attemptLatencies.quantile(search.request.service, 0.5, base::Duration::zero());
        if (now + restartTimeFactor * median >= search.request.deadline)
            return false;
        const auto* other
            = chooseOtherSnapshot(context.upstreams, *context.newestCatalog, *service, search.snapshot->id, now);
        if (!other || !tryTakeRetry(search, context, {}, now))
            return false;
        search.wasRestarted = true;
        for (auto& progress : search.shards)
            cancelOpenAttempts(search, context, progress, step, now);
        search.catalog = context.newestCatalog;
        pinSnapshot(search, *other);
        sendFirstAttempts(search, context, step, now);
        return true;
    }

    base::TimePoint nextEvent(const Search& search, const SearchContext& context, base::TimePoint now)
    {
        auto next = search.request.deadline;
        if (search.canaryAt)
            next = std::min(next, *search.canaryAt);
        auto isHedging = context.upstreams.settings().hedging.enabled;
        for (const auto& progress : search.shards) {
            if (progress.isAnswered || progress.isGivenUp)
                continue;
            if (progress.retryAt)
                next = std::min(next, *progress.retryAt);
            if (progress.isWaiting)
                next = std::min(next, now + waitingCheckPeriod);
            if (isHedging && progress.mayHedge && progress.openAttempts.size() == 1)
                next = std::min(next, progress.hedgeAt);
        }
        return std::max(next, now);
    }

    /** Ends the handling of an event: restarts or finishes the search if necessary, and requests the next timer. */
    void completeStep(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        if (search.phase == SearchPhase::Finished)
            return;
        if (hasLostSnapshot(search))
            restart(search, context, step, now);
        if (isSearchDone(search)) {
            finish(search, context, step, now);
            return;
        }
        auto next = nextEvent(search, context, now);
        if (search.timerAt <= now || next < search.timerAt)
            step.timer = search.timerAt = next;
    }

    void handleAnswer(Search& search, SearchContext& context, size_t shardIndex, const AttemptResult& result,
        SearchStep& step, base::TimePoint now)
    {
        const auto& shard = search.snapshot->shards[shardIndex];
        auto& progress = search.shards[shardIndex];
        progress.isAnswered = true;
        progress.isWaiting = false;
        progress.retryAt.reset();
        progress.unitsSearched = std::min(result.unitsSearched, shard.units);
        search.answer.hits.insert(search.answer.hits.end(), result.hits.begin(), result.hits.end());
        search.hasSucceeded = true;
        context.routing.quarantine.succeeded(search.fingerprint, search.snapshot->id, base::hash(shard.name), now);
        cancelOpenAttempts(search, context, progress, step, now);
        if (search.phase == SearchPhase::Canary)
            fanOut(search, context, step, now);
    }

    void handleLostConnection(Search& search, SearchContext& context, size_t shardIndex, const AttemptResult& result,
        SearchStep& step, base::TimePoint now)
    {
        auto& progress = search.shards[shardIndex];
        auto& quarantine = context.routing.quarantine;
        const auto* upstream = catalog::findUpstream(*search.catalog, result.upstream);
        routing::Crash crash { base::hash(upstream ? upstream->name : std::string()),
            base::hash(search.snapshot->shards[shardIndex].name) };
        step.notices.push_back(quarantine.crashed(search.fingerprint, crash, search.hasSucceeded, now));
        progress.mayHedge = false;
        if (quarantine.isQuarantined(search.fingerprint, now)) {
            if (!search.hasSucceeded)
                return refuse(search, context, base::RefusalCode::Quarantined,
                    "upstreams were lost while they ran the request", step, now);
            progress.lastFailure = "quarantined";
            progress.isGivenUp = progress.openAttempts.empty();
            return;
        }
        if (!progress.openAttempts.empty())
            return;
        if (search.phase == SearchPhase::Canary) {
            search.canaryAt = quarantine.soloRunStart(search.fingerprint, now);
            return;
        }
        if (!tryTakeRetry(search, context, progress, now)) {
            progress.isGivenUp = true;
            return;
        }
        if (search.hasSucceeded)
            sendNext(search, context, shardIndex, step, now);
        else
            progress.retryAt = quarantine.soloRunStart(search.fingerprint, now);
    }

    void retryOnAnotherReplica(Search& search, SearchContext& context, size_t shardIndex, const AttemptResult& result,
        SearchStep& step, base::TimePoint now)
    {
        auto& progress = search.shards[shardIndex];
        if (!progress.openAttempts.empty())
            return;
        // These results mark the upstream as unusable, so they do not recur. All other retries are bounded by the
        // budget.
        auto isExemptFromBudget = result.status == AttemptStatus::NotSent || result.status == AttemptStatus::Draining
            || result.status == AttemptStatus::SnapshotUnavailable || result.status == AttemptStatus::UnknownShard;
        if (!isExemptFromBudget && !tryTakeRetry(search, context, progress, now)) {
            if (search.phase == SearchPhase::Canary)
                std::ranges::for_each(search.shards, [](ShardProgress& it) { it.isGivenUp = true; });
            progress.isGivenUp = true;
            return;
        }
        if (search.phase == SearchPhase::Canary)
            return scheduleCanary(search, context, step, now);
        sendNext(search, context, shardIndex, step, now);
        if (!progress.isGivenUp || result.status != AttemptStatus::Shed)
            return;
        // All replicas have shed the attempt: try them again after the overload hold.
        progress.isGivenUp = false;
        progress.triedUpstreams.clear();
        progress.retryAt = now + context.upstreams.settings().recovery.overloadHold;
    }

    bool isAnswerForShard(const Search& search, size_t shardIndex, const AttemptResult& result)
    {
        return result.status == AttemptStatus::Ran && result.snapshot == search.snapshot->id
            && result.shard == search.snapshot->shards[shardIndex].name;
    }

    std::string failureReason(const Search& search, const AttemptResult& result)
    {
        if (result.status != AttemptStatus::Ran)
            return std::string(toString(result.status));
        return result.snapshot != search.snapshot->id ? "other_snapshot" : "other_shard";
    }

}

base::TimePoint latestStart(const SearchRequest& request, const routing::RoutingState& routing)
{
    auto expected = routing.searchDurations.quantile(request.service, latestStartQuantile, base::Duration::zero());
    // Without the bound, an estimate above the time limit would refuse all searches and never be corrected.
    return request.deadline - std::min(expected, (request.deadline - request.received) / 2);
}

SearchStep refuseWaiting(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    refuse(search, context, base::RefusalCode::Overloaded, "too many searches of " + search.request.service, step, now);
    step.refusal->retryAfter = overloadRetryAfter;
    return step;
}

SearchStep startSearch(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    const auto& request = search.request;
    const auto* service = catalog::findService(*search.catalog, request.service);
    if (!service || service->kind != catalog::ServiceKind::Sharded) {
        refuse(search, context, base::RefusalCode::UnknownService, "no sharded service " + request.service, step, now);
        return step;
    }
    search.fingerprint = routing::fingerprintOf(request.account, request.service, request.query);
    if (context.routing.quarantine.isQuarantined(search.fingerprint, now)) {
        refuse(search, context, base::RefusalCode::Quarantined, "the request is quarantined", step, now);
        return step;
    }
    const auto* snapshot = chooseSnapshot(context.upstreams, *search.catalog, *service, now);
    if (!snapshot) {
        refuse(search, context, base::RefusalCode::NoUpstream, "no snapshot of " + request.service, step, now);
        return step;
    }
    search.startedAt = now;
    pinSnapshot(search, *snapshot);
    sendFirstAttempts(search, context, step, now);
    completeStep(search, context, step, now);
    return step;
}

SearchStep attemptFinished(Search& search, SearchContext& context, const AttemptResult& result, base::TimePoint now)
{
    SearchStep step;
    if (search.phase == SearchPhase::Finished || result.request != search.request.id)
        return step;
    auto matches = [&](const OpenAttempt& it) { return it.id == result.attempt && it.upstream == result.upstream; };
    auto it = std::ranges::find_if(search.shards,
        [&](const ShardProgress& progress) { return std::ranges::any_of(progress.openAttempts, matches); });
    if (it == search.shards.end())
        return step;
    auto attempt = std::ranges::find_if(it->openAttempts, matches);
    if (result.status == AttemptStatus::Ran)
        context.routing.attemptLatencies.record(search.request.service, now - attempt->sentAt);
    it->openAttempts.erase(attempt);
    auto shardIndex = static_cast<size_t>(it - search.shards.begin());
    search.verdict = base::combine(search.verdict, routing::verdictOf(result.status));
    if (result.status == AttemptStatus::Shed)
        context.routing.attemptLatencies.countAttempts(search.request.service, 0, 1, now);
    if (isAnswerForShard(search, shardIndex, result)) {
        handleAnswer(search, context, shardIndex, result, step, now);
    } else {
        it->lastFailure = failureReason(search, result);
        if (result.status == AttemptStatus::ConnectionLost)
            handleLostConnection(search, context, shardIndex, result, step, now);
        else
            retryOnAnotherReplica(search, context, shardIndex, result, step, now);
    }
    completeStep(search, context, step, now);
    return step;
}

SearchStep slotFreed(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    if (search.phase == SearchPhase::Finished)
        return step;
    if (search.phase == SearchPhase::Canary) {
        auto isIdle
            = std::ranges::all_of(search.shards, [](const ShardProgress& it) { return it.openAttempts.empty(); });
        // A free slot does not let a suspect start before its solo run.
        if (isIdle && search.canaryAt && context.routing.quarantine.soloRunStart(search.fingerprint, now) <= now)
            sendCanary(search, context, step, now);
    } else {
        for (size_t n = 0; n < search.shards.size(); ++n) {
            if (search.shards[n].isWaiting)
                sendNext(search, context, n, step, now);
        }
    }
    completeStep(search, context, step, now);
    return step;
}

SearchStep timerExpired(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    if (search.phase == SearchPhase::Finished)
        return step;
    if (now >= search.request.deadline) {
        for (auto& progress : search.shards) {
            if (!progress.isAnswered && progress.lastFailure.empty())
                progress.lastFailure = "deadline_exceeded";
        }
        finish(search, context, step, now);
        return step;
    }
    if (search.phase == SearchPhase::Canary && search.canaryAt && now >= *search.canaryAt) {
        if (context.routing.quarantine.isQuarantined(search.fingerprint, now)) {
            refuse(search, context, base::RefusalCode::Quarantined, "the request is quarantined", step, now);
            return step;
        }
        sendCanary(search, context, step, now);
    }
    for (size_t n = 0; n < search.shards.size(); ++n) {
        auto& progress = search.shards[n];
        if (progress.retryAt && now >= *progress.retryAt) {
            progress.retryAt.reset();
            sendNext(search, context, n, step, now);
        } else if (progress.isWaiting) {
            sendNext(search, context, n, step, now);
        }
    }
    sendHedges(search, context, step, now);
    completeStep(search, context, step, now);
    return step;
}

}
