#include "papayabend/query/Search.h"

#include <algorithm>
#include <functional>
#include <ranges>

namespace papayabend::query {

namespace {

    using routing::Attempt;
    using routing::AttemptResult;
    using routing::AttemptStatus;

    bool isUsable(const Search& search, SearchContext& context, const catalog::Shard& shard)
    {
        return routing::chooseReplica(context.upstreams, *search.catalog, shard.replicas, {}, context.random)
            .has_value();
    }

    const catalog::Snapshot* chooseSnapshot(
        const Search& search, SearchContext& context, const catalog::Service& service)
    {
        auto it = std::ranges::find_if(service.snapshots, [&](const catalog::Snapshot& snapshot) {
            return std::ranges::all_of(
                snapshot.shards, [&](const catalog::Shard& shard) { return isUsable(search, context, shard); });
        });
        if (it != service.snapshots.end())
            return &*it;
        return service.snapshots.empty() ? nullptr : &service.snapshots.front();
    }

    bool sendAttempt(Search& search, SearchContext& context, size_t n, SearchStep& step)
    {
        const auto& shard = search.snapshot->shards[n];
        auto& progress = search.shards[n];
        auto replica = routing::chooseReplica(
            context.upstreams, *search.catalog, shard.replicas, progress.tried, context.random);
        if (!replica)
            return false;
        Attempt attempt;
        attempt.id = ++context.lastAttempt;
        attempt.request = search.request.id;
        attempt.upstream = *replica;
        attempt.address = catalog::findUpstream(*search.catalog, *replica)->address;
        attempt.service = search.request.service;
        attempt.shard = shard.name;
        attempt.snapshot = search.snapshot->id;
        attempt.body = search.request.query;
        attempt.maxHits = search.request.maxHits;
        attempt.deadline = search.request.deadline;
        routing::attemptStarted(context.upstreams, attempt);
        progress.open.push_back(attempt);
        progress.tried.push_back(*replica);
        ++search.answer.attempts;
        step.send.push_back(std::move(attempt));
        return true;
    }

    void finish(Search& search, SearchStep& step)
    {
        auto& answer = search.answer;
        for (size_t n = 0; n < search.shards.size(); ++n) {
            const auto& shard = search.snapshot->shards[n];
            auto& progress = search.shards[n];
            answer.coverage.unitsTotal += shard.units;
            std::ranges::transform(progress.open, std::back_inserter(step.cancel), &Attempt::id);
            if (!progress.isAnswered)
                answer.coverage.missing.push_back({ shard.name, shard.units, progress.lastFailure });
        }
        std::ranges::stable_sort(answer.hits, std::greater {}, &routing::Hit::score);
        if (answer.hits.size() > search.request.maxHits)
            answer.hits.resize(search.request.maxHits);
        search.isFinished = true;
        step.answer = answer;
    }

    bool isSettled(const ShardProgress& progress) { return progress.isAnswered || progress.open.empty(); }

    bool takeAnswer(Search& search, size_t n, const AttemptResult& result)
    {
        const auto& shard = search.snapshot->shards[n];
        if (result.status != AttemptStatus::Ran || result.snapshot != search.snapshot->id || result.shard != shard.name)
            return false;
        auto& answer = search.answer;
        search.shards[n].isAnswered = true;
        answer.coverage.unitsSearched += std::min(result.unitsSearched, shard.units);
        answer.hits.insert(answer.hits.end(), result.hits.begin(), result.hits.end());
        return true;
    }

}

SearchStep startSearch(Search& search, SearchContext& context, base::TimePoint)
{
    SearchStep step;
    const auto* service = catalog::findService(*search.catalog, search.request.service);
    if (!service || service->kind != catalog::ServiceKind::Sharded) {
        step.refusal = base::Refusal { base::RefusalCode::UnknownService, base::Verdict::NotRun,
            "no sharded service " + search.request.service, {} };
        return step;
    }
    search.snapshot = chooseSnapshot(search, context, *service);
    if (!search.snapshot) {
        step.refusal = base::Refusal { base::RefusalCode::NoUpstream, base::Verdict::NotRun,
            "no snapshot of " + search.request.service, {} };
        return step;
    }
    search.answer.snapshot = search.snapshot->id;
    search.shards.resize(search.snapshot->shards.size());
    for (size_t n = 0; n < search.shards.size(); ++n) {
        if (!sendAttempt(search, context, n, step))
            search.shards[n].lastFailure = "no_replica";
    }
    step.timer = search.request.deadline;
    if (std::ranges::all_of(search.shards, isSettled))
        finish(search, step);
    return step;
}

SearchStep attemptFinished(Search& search, SearchContext& context, const AttemptResult& result, base::TimePoint now)
{
    SearchStep step;
    if (search.isFinished)
        return step;
    auto isOpen = [&](const ShardProgress& progress) {
        return std::ranges::find(progress.open, result.attempt, &Attempt::id) != progress.open.end();
    };
    auto it = std::ranges::find_if(search.shards, isOpen);
    if (it == search.shards.end())
        return step;
    std::erase_if(it->open, [&](const Attempt& attempt) { return attempt.id == result.attempt; });
    auto n = static_cast<size_t>(it - search.shards.begin());
    if (!it->isAnswered && !takeAnswer(search, n, result)) {
        it->lastFailure = toString(result.status);
        if (now < search.request.deadline)
            sendAttempt(search, context, n, step);
    }
    if (std::ranges::all_of(search.shards, isSettled))
        finish(search, step);
    return step;
}

SearchStep timerExpired(Search& search, SearchContext&, base::TimePoint now)
{
    SearchStep step;
    if (search.isFinished || now < search.request.deadline)
        return step;
    for (auto& progress : search.shards) {
        if (!progress.isAnswered)
            progress.lastFailure = "deadline_exceeded";
    }
    finish(search, step);
    return step;
}

}
