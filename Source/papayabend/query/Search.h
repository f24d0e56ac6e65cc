#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/query/Coverage.h"
#include "papayabend/routing/Attempt.h"
#include "papayabend/routing/RoutingState.h"
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
    std::vector<catalog::UpstreamId> waitFor; /**< Call slotFreed() when one of them has a free slot. */
    std::vector<routing::QuarantineNotice> notices; /**< For all other hosts of the serving set, at once. */
    std::optional<base::TimePoint> timer;
    std::optional<SearchAnswer> answer; /**< Set once, at the end. */
    std::optional<base::Refusal> refusal; /**< Set in place of an answer. */
};

/** \struct OpenAttempt
 * \brief Attempt whose result is awaited.
 */
struct OpenAttempt {
    routing::AttemptId id { 0 };
    catalog::UpstreamId upstream {};
    base::TimePoint sent {};
};

/** \struct ShardProgress
 * \brief State of one shard of a running search.
 */
struct ShardProgress {
    std::vector<OpenAttempt> open;
    std::vector<catalog::UpstreamId> tried;
    uint32_t sent { 0 };
    uint64_t unitsSearched { 0 };
    bool isAnswered { false };
    bool isWaiting { false }; /**< All usable replicas are at their limit in flight. */
    bool isGivenUp { false };
    bool mayHedge { true };
    base::TimePoint hedgeAt {}; /**< Set while an attempt is open. */
    std::optional<base::TimePoint> retryAt;
    std::string lastFailure;
};

/** \enum SearchPhase
 * \brief A search is first tried on one upstream alone if its fingerprint has not succeeded before.
 */
enum class SearchPhase : uint8_t { Canary, FanOut, Finished };

/** \struct Search
 * \brief A running search. Not safe for use by several threads at once.
 */
struct Search {
    SearchRequest request;
    std::shared_ptr<const catalog::Catalog> catalog;
    const catalog::Snapshot* snapshot { nullptr };
    std::vector<ShardProgress> shards;
    SearchAnswer answer;
    SearchPhase phase { SearchPhase::FanOut };
    uint64_t fingerprint { 0 };
    base::TimePoint startedAt {};
    bool isProven { false }; /**< An upstream has answered the fingerprint before. */
    bool wasRestarted { false };
    base::Verdict verdict { base::Verdict::NotRun }; /**< Of all ended attempts together. */
    std::vector<catalog::UpstreamId> canaryTried;
    bool isCanaryWaiting { false }; /**< For a free slot; the search is on the lists of waiting searches. */
    std::optional<base::TimePoint> canaryAt; /**< Time of the next canary attempt. */
    base::TimePoint timerAt {}; /**< Earliest timer that was asked for and has not expired. */
};

/** \struct SearchContext
 * \brief Shared state that a search uses.
 */
struct SearchContext {
    routing::UpstreamTable& upstreams;
    routing::RoutingState& routing;
    std::shared_ptr<const catalog::Catalog> newestCatalog;
    base::Random& random;
    routing::AttemptId& lastAttempt;
};

/** Returns the time after which a search that has not started could no longer be answered in time. */
base::TimePoint latestStart(const SearchRequest&, const routing::RoutingState&);

/** Refuses a search that waited too long to start, as not run. */
SearchStep refuseWaiting(Search&, SearchContext&, base::TimePoint now);

/** Pins a snapshot and sends the first attempts. */
SearchStep startSearch(Search&, SearchContext&, base::TimePoint now);
SearchStep attemptFinished(Search&, SearchContext&, const routing::AttemptResult&, base::TimePoint now);
SearchStep timerExpired(Search&, SearchContext&, base::TimePoint now);

/** Sends waiting attempts for which there is a free slot now. */
SearchStep slotFreed(Search&, SearchContext&, base::TimePoint now);

}
