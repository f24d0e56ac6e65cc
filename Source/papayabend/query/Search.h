#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/query/Coverage.h"
#include "papayabend/routing/Attempt.h"
#include "papayabend/routing/UpstreamTable.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayabend::query {

/** \struct SearchRequest
 * \brief A caller's search over every shard of one service.
 */
struct SearchRequest {
    routing::RequestId id { 0 };
    std::string account;
    std::string service;
    std::string query;
    uint32_t maxHits { 10 };
    base::TimePoint received {};
    base::TimePoint deadline {};
};

/** \struct SearchAnswer
 * \brief Hits of one snapshot with the coverage they were computed from.
 */
struct SearchAnswer {
    uint64_t snapshot { 0 };
    std::vector<routing::Hit> hits; /**< Best score first. */
    Coverage coverage;
    uint32_t attempts { 0 };
};

/** \struct SearchStep
 * \brief What has to be done after an event of a search.
 */
struct SearchStep {
    std::vector<routing::Attempt> send;
    std::vector<routing::AttemptId> cancel;
    std::optional<base::TimePoint> timer;
    std::optional<SearchAnswer> answer; /**< Set once, at the end. */
    std::optional<base::Refusal> refusal; /**< Set in place of an answer. */
};

/** \struct ShardProgress
 * \brief State of one shard of a running search.
 */
struct ShardProgress {
    std::vector<routing::Attempt> open;
    std::vector<catalog::UpstreamId> tried;
    bool isAnswered { false };
    std::string lastFailure;
};

/** \struct Search
 * \brief A running search. Not safe for use by several threads at once.
 */
struct Search {
    SearchRequest request;
    std::shared_ptr<const catalog::Catalog> catalog;
    const catalog::Snapshot* snapshot { nullptr };
    std::vector<ShardProgress> shards;
    SearchAnswer answer;
    bool isFinished { false };
};

/** \struct SearchContext
 * \brief Shared state that a search uses.
 */
struct SearchContext {
    routing::UpstreamTable& upstreams;
    base::Random& random;
    routing::AttemptId& lastAttempt;
};

/** Pins a snapshot and sends one attempt to each shard. */
SearchStep startSearch(Search&, SearchContext&, base::TimePoint now);
SearchStep attemptFinished(Search&, SearchContext&, const routing::AttemptResult&, base::TimePoint now);
SearchStep timerExpired(Search&, SearchContext&, base::TimePoint now);

}
