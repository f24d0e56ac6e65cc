#pragma once

#include "papayabend/routing/ReplicaChoice.h"
#include "papayabend/routing/UpstreamTable.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace papayabend::routing {

/** \struct RoutingFixture
 * \brief Upstreams u0 to u3, two in each of the failure domains a and b, with 2 slots and 25 connections.
 */
struct RoutingFixture : Utest {
    catalog::Catalog catalog;
    UpstreamTable table;
    base::Random random { 1 };
    base::TimePoint now { std::chrono::seconds(100) };
    std::atomic<AttemptId> lastProbe { AttemptId { 1 } << 63 };
    AttemptId lastAttempt { 0 };
    std::vector<catalog::UpstreamId> upstreamIds;

    RoutingFixture()
    {
        catalog.version = 1;
        for (uint32_t n = 0; n < 4; ++n) {
            upstreamIds.push_back(static_cast<catalog::UpstreamId>(n));
            catalog.upstreams.push_back({ upstreamIds.back(), "u" + std::to_string(n), "127.0.0.1:" + std::to_string(n),
                n < 2 ? "a" : "b", 2, 25, {}, false });
        }
        table.catalogSeen(catalog, now);
    }

    Attempt send(uint32_t upstream, uint64_t snapshot = 0)
    {
        Attempt attempt;
        attempt.id = ++lastAttempt;
        attempt.upstream = upstreamIds[upstream];
        attempt.snapshot = snapshot;
        attemptStarted(table, attempt, now);
        return attempt;
    }

    bool finish(const Attempt& attempt, AttemptStatus status, std::optional<LoadReport> load = {})
    {
        AttemptResult result;
        result.attempt = attempt.id;
        result.upstream = attempt.upstream;
        result.status = status;
        result.load = load;
        return attemptFinished(table, result, now);
    }

    /** Sends one attempt, which is answered after \a latency. */
    void completeAttempt(uint32_t upstream, base::Duration latency = std::chrono::milliseconds(5))
    {
        auto attempt = send(upstream);
        now += latency;
        finish(attempt, AttemptStatus::Ran, LoadReport {});
    }

    bool isUsable(uint32_t upstream, uint64_t snapshot = 0)
    {
        return routing::isUsable(table, catalog, upstreamIds[upstream], snapshot, now);
    }

    std::vector<Attempt> probes() { return dueProbes(table, catalog, 1, lastProbe, now); }

    /** Returns how often each upstream is chosen in \a count choices. */
    std::vector<int> countChoices(ReplicaQuery query, int count = 1000)
    {
        std::vector<int> chosen(upstreamIds.size());
        query.replicas = upstreamIds;
        for (int n = 0; n < count; ++n) {
            if (auto id = chooseReplica(table, catalog, query, random, now))
                ++chosen[catalog::toIndex(*id)];
        }
        return chosen;
    }
};

}
