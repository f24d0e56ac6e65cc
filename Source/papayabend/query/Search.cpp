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

    // A restart has to send a whole search again, so it needs more time than one attempt.
    constexpr int restartTimeFactor = 3;
    constexpr double startQuantile = 0.9;
    constexpr base::Duration waitingCheckPeriod = std::chrono::milliseconds(20);

    bool isSettled(const ShardProgress& progress)
    {
        return progress.isAnswered || progress.isGivenUp
            || (progress.open.empty() && !progress.isWaiting && !progress.retryAt);
    }

    bool isDone(const Search& search)
    {
        if (search.phase == SearchPhase::Canary)
            return std::ranges::all_of(search.shards, &ShardProgress::isGivenUp);
        return std::ranges::all_of(search.shards, isSettled);
    }

    void finish(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        auto& answer = search.answer;
        for (size_t n = 0; n < search.shards.size(); ++n) {
            const auto& shard = search.snapshot->shards[n];
            auto& progress = search.shards[n];
            cancelOpen(search, context, progress, step, now);
            answer.coverage.unitsTotal += shard.units;
            answer.coverage.unitsSearched += progress.unitsSearched;
            if (progress.unitsSearched < shard.units || !progress.isAnswered) {
                answer.coverage.missing.push_back({ shard.name, shard.units - progress.unitsSearched,
                    progress.isAnswered                ? "partly_searched"
                        : progress.lastFailure.empty() ? "no_answer"
                                                       : progress.lastFailure });
            }
        }
        // A search that the deadline ended would have taken longer by an unknown time.
        auto isCutOff = now >= search.request.deadline;
        context.routing.searchTimes.record(search.request.service, (now - search.startedAt) * (isCutOff ? 2 : 1));
        keepBestHits(answer.hits, search.request.maxHits);
        search.phase = SearchPhase::Finished;
        step.answer = std::move(answer);
    }

    void refuse(Search& search, SearchContext& context, base::RefusalCode code, std::string detail, SearchStep& step,
        base::TimePoint now)
    {
        for (auto& progress : search.shards)
            cancelOpen(search, context, progress, step, now);
        search.phase = SearchPhase::Finished;
        step.refusal = base::Refusal { code, search.verdict, std::move(detail), {} };
    }

    void pin(Search& search, const catalog::Snapshot& snapshot)
    {
        search.snapshot = &snapshot;
        search.shards.assign(snapshot.shards.size(), {});
        search.answer.snapshot = snapshot.id;
        search.answer.hits.clear();
        search.canaryTried.clear();
        search.canaryAt.reset();
    }

    bool lostSnapshot(const Search& search)
    {
        static constexpr std::array<std::string_view, 6> reasons { "no_replica", "snapshot_unavailable",
            "unknown_shard", "draining", "not_sent", "other_snapshot" };
        return std::ranges::any_of(search.shards, [](const ShardProgress& progress) {
            return progress.isGivenUp && std::ranges::find(reasons, progress.lastFailure) != reasons.end();
        });
    }

    /** Sends the next canary attempt; a suspect waits its turn, also if only a notice told of the crash. */
    void scheduleCanary(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        auto soloRunStart = context.routing.quarantine.soloRunStart(search.fingerprint, now);
        if (soloRunStart > now)
            search.canaryAt = soloRunStart;
        else
            sendCanary(search, context, step, now);
    }

    void begin(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        const auto& quarantine = context.routing.quarantine;
        if (!search.shards.empty() && quarantine.needsCanary(search.fingerprint, search.snapshot->id, now)) {
            search.phase = SearchPhase::Canary;
            scheduleCanary(search, context, step, now);
            return;
        }
        fanOut(search, context, step, now);
    }

    bool restart(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        const auto* service = catalog::findService(*context.newestCatalog, search.request.service);
        if (search.wasRestarted || !service || service->kind != catalog::ServiceKind::Sharded)
            return false;
        auto median = context.routing.latencies.quantile(search.request.service, 0.5, base::Duration::zero());
        if (now + restartTimeFactor * median >= search.request.deadline)
            return false;
        const auto* other
            = chooseOtherSnapshot(context.upstreams, *context.newestCatalog, *service, search.snapshot->id, now);
        if (!other || !takeRetry(search, context, {}, now))
            return false;
        search.wasRestarted = true;
        for (auto& progress : search.shards)
            cancelOpen(search, context, progress, step, now);
        search.catalog = context.newestCatalog;
        pin(search, *other);
        begin(search, context, step, now);
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
            if (isHedging && progress.mayHedge && progress.open.size() == 1)
                next = std::min(next, progress.hedgeAt);
        }
        return std::max(next, now);
    }

    /** Restarts or ends the search if due, and asks for the next timer. */
    void settle(Search& search, SearchContext& context, SearchStep& step, base::TimePoint now)
    {
        if (search.phase == SearchPhase::Finished)
            return;
        if (lostSnapshot(search))
            restart(search, context, step, now);
        if (isDone(search)) {
            finish(search, context, step, now);
            return;
        }
        auto next = nextEvent(search, context, now);
        if (search.timerAt <= now || next < search.timerAt)
            step.timer = search.timerAt = next;
    }

    void takeAnswer(Search& search, SearchContext& context, size_t n, const AttemptResult& result, SearchStep& step,
        base::TimePoint now)
    {
        const auto& shard = search.snapshot->shards[n];
        auto& progress = search.shards[n];
        progress.isAnswered = true;
        progress.isWaiting = false;
        progress.retryAt.reset();
        progress.unitsSearched = std::min(result.unitsSearched, shard.units);
        search.answer.hits.insert(search.answer.hits.end(), result.hits.begin(), result.hits.end());
        search.isProven = true;
        context.routing.quarantine.succeeded(search.fingerprint, search.snapshot->id, base::hash(shard.name), now);
        cancelOpen(search, context, progress, step, now);
        if (search.phase == SearchPhase::Canary)
            fanOut(search, context, step, now);
    }

    void takeCrash(Search& search, SearchContext& context, size_t n, const AttemptResult& result, SearchStep& step,
        base::TimePoint now)
    {
        auto& progress = search.shards[n];
        auto& quarantine = context.routing.quarantine;
        const auto* upstream = catalog::findUpstream(*search.catalog, result.upstream);
        routing::Crash crash { base::hash(upstream ? upstream->name : std::string()),
            base::hash(search.snapshot->shards[n].name) };
        step.notices.push_back(quarantine.crashed(search.fingerprint, crash, search.isProven, now));
        progress.mayHedge = false;
        if (quarantine.isQuarantined(search.fingerprint, now)) {
            if (!search.isProven)
                return refuse(search, context, base::RefusalCode::Quarantined,
                    "upstreams were lost while they ran the request", step, now);
            progress.lastFailure = "quarantined";
            progress.isGivenUp = progress.open.empty();
            return;
        }
        if (!progress.open.empty())
            return;
        if (search.phase == SearchPhase::Canary) {
            search.canaryAt = quarantine.soloRunStart(search.fingerprint, now);
            return;
        }
        if (!takeRetry(search, context, progress, now)) {
            progress.isGivenUp = true;
            return;
        }
        if (search.isProven)
            sendNext(search, context, n, step, now);
        else
            progress.retryAt = quarantine.soloRunStart(search.fingerprint, now);
    }

    void retryElsewhere(Search& search, SearchContext& context, size_t n, const AttemptResult& result, SearchStep& step,
        base::TimePoint now)
    {
        auto& progress = search.shards[n];
        if (!progress.open.empty())
            return;
        // Refusals that name the upstream as unusable cannot repeat; all others are bounded by the budget.
        auto isFree = result.status == AttemptStatus::NotSent || result.status == AttemptStatus::Draining
            || result.status == AttemptStatus::SnapshotUnavailable || result.status == AttemptStatus::UnknownShard;
        if (!isFree && !takeRetry(search, context, progress, now)) {
            if (search.phase == SearchPhase::Canary)
                std::ranges::for_each(search.shards, [](ShardProgress& it) { it.isGivenUp = true; });
            progress.isGivenUp = true;
            return;
        }
        if (search.phase == SearchPhase::Canary)
            return scheduleCanary(search, context, step, now);
        sendNext(search, context, n, step, now);
        if (!progress.isGivenUp || result.status != AttemptStatus::Shed)
            return;
        // All replicas shed the request: try them again when the overload may be over.
        progress.isGivenUp = false;
        progress.tried.clear();
        progress.retryAt = now + context.upstreams.settings().recovery.overloadHold;
    }

    bool isAnswerTo(const Search& search, size_t n, const AttemptResult& result)
    {
        return result.status == AttemptStatus::Ran && result.snapshot == search.snapshot->id
            && result.shard == search.snapshot->shards[n].name;
    }

    std::string failureOf(const Search& search, const AttemptResult& result)
    {
        if (result.status != AttemptStatus::Ran)
            return std::string(toString(result.status));
        return result.snapshot != search.snapshot->id ? "other_snapshot" : "other_shard";
    }

}

base::TimePoint latestStart(const SearchRequest& request, const routing::RoutingState& routing)
{
    auto usual = routing.searchTimes.quantile(request.service, startQuantile, base::Duration::zero());
    // An estimate above the deadline must not refuse all searches, or it would never be corrected.
    return request.deadline - std::min(usual, (request.deadline - request.received) / 2);
}

SearchStep refuseWaiting(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    refuse(search, context, base::RefusalCode::Overloaded, "too many searches of " + search.request.service, step, now);
    step.refusal->retryAfter = std::chrono::seconds(1);
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
    pin(search, *snapshot);
    begin(search, context, step, now);
    settle(search, context, step, now);
    return step;
}

SearchStep attemptFinished(Search& search, SearchContext& context, const AttemptResult& result, base::TimePoint now)
{
    SearchStep step;
    if (search.phase == SearchPhase::Finished || result.request != search.request.id)
        return step;
    auto matches = [&](const OpenAttempt& it) { return it.id == result.attempt && it.upstream == result.upstream; };
    auto it = std::ranges::find_if(
        search.shards, [&](const ShardProgress& progress) { return std::ranges::any_of(progress.open, matches); });
    if (it == search.shards.end())
        return step;
    auto attempt = std::ranges::find_if(it->open, matches);
    if (result.status == AttemptStatus::Ran)
        context.routing.latencies.record(search.request.service, now - attempt->sent);
    it->open.erase(attempt);
    auto n = static_cast<size_t>(it - search.shards.begin());
    search.verdict = base::combine(search.verdict, routing::verdictOf(result.status));
    if (result.status == AttemptStatus::Shed)
        context.routing.latencies.recordPressure(search.request.service, 0, 1, now);
    if (isAnswerTo(search, n, result)) {
        takeAnswer(search, context, n, result, step, now);
    } else {
        it->lastFailure = failureOf(search, result);
        if (result.status == AttemptStatus::ConnectionLost)
            takeCrash(search, context, n, result, step, now);
        else
            retryElsewhere(search, context, n, result, step, now);
    }
    settle(search, context, step, now);
    return step;
}

SearchStep slotFreed(Search& search, SearchContext& context, base::TimePoint now)
{
    SearchStep step;
    if (search.phase == SearchPhase::Finished)
        return step;
    if (search.phase == SearchPhase::Canary) {
        auto isIdle = std::ranges::all_of(search.shards, [](const ShardProgress& it) { return it.open.empty(); });
        // A suspect that waits for its turn is not sent earlier because a slot is free.
        if (isIdle && search.canaryAt && context.routing.quarantine.soloRunStart(search.fingerprint, now) <= now)
            sendCanary(search, context, step, now);
    } else {
        for (size_t n = 0; n < search.shards.size(); ++n) {
            if (search.shards[n].isWaiting)
                sendNext(search, context, n, step, now);
        }
    }
    settle(search, context, step, now);
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
    settle(search, context, step, now);
    return step;
}

}
