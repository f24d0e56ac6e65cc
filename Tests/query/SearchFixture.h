#pragma once

#include "papayabend/query/Search.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

namespace papayabend::query {

/** \struct SearchFixture
 * \brief A search of service "s", which has snapshots 2 and 1, each with 3 shards of 100 units on 2 replicas.
 */
struct SearchFixture : Utest {
    routing::UpstreamTable table;
    routing::RoutingState routing;
    base::Random random { 1 };
    base::TimePoint now { std::chrono::seconds(100) };
    std::shared_ptr<catalog::Catalog> catalog = std::make_shared<catalog::Catalog>();
    routing::AttemptId lastAttempt { 0 };
    Search search;
    std::vector<routing::Attempt> openAttempts;
    std::vector<routing::QuarantineNotice> notices;
    std::optional<SearchAnswer> answer;
    std::optional<base::Refusal> refusal;

    SearchFixture()
    {
        catalog->version = 1;
        for (uint32_t n = 0; n < 6; ++n)
            catalog->upstreams.push_back({ catalog::UpstreamId { n }, "u" + std::to_string(n),
                "127.0.0.1:" + std::to_string(n), n % 2 ? "a" : "b", 2, 25, {}, false });
        catalog::Service service { "s", catalog::ServiceKind::Sharded, {}, {} };
        for (uint64_t id : { 2, 1 }) {
            catalog::Snapshot snapshot { id, {} };
            for (uint32_t n = 0; n < 3; ++n)
                snapshot.shards.push_back({ "x" + std::to_string(n), 100,
                    { catalog::UpstreamId { 2 * n }, catalog::UpstreamId { 2 * n + 1 } } });
            service.snapshots.push_back(std::move(snapshot));
        }
        catalog->services.push_back(std::move(service));
        routing::RoutingSettings settings;
        settings.crashes.canary = routing::CanaryMode::Off;
        configure(settings);
        search.request = { 7, "muscat", "s", "query", 10, now, now + std::chrono::seconds(1) };
    }

    void configure(const routing::RoutingSettings& settings)
    {
        table.configure(settings);
        routing.quarantine.configure(settings.crashes);
    }

    SearchContext context() { return { table, routing, catalog, random, lastAttempt }; }

    /** Performs a step: updates the open attempts and keeps notices, answer and refusal. */
    void apply(SearchStep step)
    {
        std::erase_if(openAttempts,
            [&](const routing::Attempt& it) { return std::ranges::find(step.cancel, it.id) != step.cancel.end(); });
        openAttempts.insert(openAttempts.end(), step.send.begin(), step.send.end());
        notices.insert(notices.end(), step.notices.begin(), step.notices.end());
        if (step.answer)
            answer = step.answer;
        if (step.refusal)
            refusal = step.refusal;
    }

    void start()
    {
        search.catalog = catalog;
        auto shared = context();
        apply(startSearch(search, shared, now));
    }

    routing::AttemptResult resultOf(const routing::Attempt& attempt, routing::AttemptStatus status)
    {
        routing::AttemptResult result;
        result.attempt = attempt.id;
        result.request = attempt.request;
        result.upstream = attempt.upstream;
        result.status = status;
        if (status == routing::AttemptStatus::Ran) {
            result.shard = attempt.shard;
            result.snapshot = attempt.snapshot;
            result.unitsSearched = 100;
            result.hits.push_back({ attempt.shard, 1 });
        }
        return result;
    }

    void reportResult(const routing::AttemptResult& result)
    {
        std::erase_if(openAttempts, [&](const routing::Attempt& it) { return it.id == result.attempt; });
        routing::attemptFinished(table, result, now);
        auto shared = context();
        apply(attemptFinished(search, shared, result, now));
    }

    /** Reports a result of the open attempt at \a index. */
    void finish(size_t index, routing::AttemptStatus status = routing::AttemptStatus::Ran)
    {
        reportResult(resultOf(openAttempts.at(index), status));
    }

    void finishAll()
    {
        while (!openAttempts.empty() && !answer && !refusal)
            finish(0);
    }

    /** Lets \a time pass and then calls timerExpired(). */
    void advance(base::Duration time)
    {
        now += time;
        auto shared = context();
        apply(timerExpired(search, shared, now));
    }

    /** Records earlier attempts of 5 ms each in the hedge budget and in the latency histogram. */
    void recordTraffic(uint64_t attempts = 1000)
    {
        routing.hedgeBudget.recordNeeded("muscat", attempts, std::chrono::seconds(10), now);
        for (uint64_t n = 0; n < attempts; ++n)
            routing.attemptLatencies.record("s", std::chrono::milliseconds(5));
    }

    uint64_t snapshotOf(size_t index) const { return openAttempts.at(index).snapshot; }
};

}
