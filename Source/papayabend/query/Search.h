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
 * \brief Hits from one snapshot, with the part of it that was searched.
 */
struct SearchAnswer {
    uint64_t snapshot { 0 };
    std::vector<routing::Hit> hits; /**< Best score first. */
    Coverage coverage;
    uint32_t attempts { 0 };
};

/** \struct SearchStep
 * \brief Actions that the caller has to perform after an event of a search.
 */
struct SearchStep {
    std::vector<routing::Attempt> send;
    std::vector<routing::AttemptId> cancel;
    std::vector<catalog::UpstreamId> waitFor; /**< Call slotFreed() when one of them has a free slot. */
    std::vector<routing::QuarantineNotice> notices; /**< To be sent to all other hosts of the serving set at once. */
    std::optional<base::TimePoint> timer; /**< Call timerExpired() at this time. */
    std::optional<SearchAnswer> answer; /**< Set once, at the end. */
    std::optional<base::Refusal> refusal; /**< Set at the end instead of an answer. */
};

/** \struct OpenAttempt
 * \brief Attempt that was sent and has no result yet.
 */
struct OpenAttempt {
    routing::AttemptId id { 0 };
    catalog::UpstreamId upstream {};
    base::TimePoint sentAt {};
};

/** \struct ShardProgress
 * \brief State of one shard of a running search.
 */
struct ShardProgress {
    std::vector<OpenAttempt> openAttempts;
    std::vector<catalog::UpstreamId> triedUpstreams;
    uint32_t attemptsSent { 0 };
    uint64_t unitsSearched { 0 };
    bool isAnswered { false };
    bool isWaiting { false }; /**< For a free slot: all usable replicas are at their in-flight limits. */
    bool isGivenUp { false };
    bool mayHedge { true }; /**< False after a lost connection. */
    base::TimePoint hedgeAt {}; /**< Earliest time of the next hedge; valid while an attempt is open. */
    std::optional<base::TimePoint> retryAt;
    std::string lastFailure; /**< Reason for MissingShard. */
};

/** \enum SearchPhase
 * \brief Phase of a search. It starts in Canary, with an attempt to a single upstream, if its fingerprint has not
 * succeeded before (see Quarantine::needsCanary()).
 */
enum class SearchPhase : uint8_t { Canary, FanOut, Finished };

/** \struct Search
 * \brief State of a running search. Not thread-safe.
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
    bool hasSucceeded { false }; /**< An attempt of this search has returned a valid answer. */
    bool wasRestarted { false };
    base::Verdict verdict { base::Verdict::NotRun }; /**< Combined verdict of all finished attempts. */
    std::vector<catalog::UpstreamId> triedCanaryUpstreams;
    bool isCanaryWaiting { false }; /**< For a free slot; the upstreams have been reported in SearchStep::waitFor. */
    std::optional<base::TimePoint> canaryAt; /**< Time of the next canary attempt. */
    base::TimePoint timerAt {}; /**< Earliest requested timer that has not expired. */
};

/** \struct SearchContext
 * \brief State that a search uses but does not own.
 */
struct SearchContext {
    routing::UpstreamTable& upstreams;
    routing::RoutingState& routing;
    std::shared_ptr<const catalog::Catalog> newestCatalog;
    base::Random& random;
    routing::AttemptId& lastAttempt;
};

/** Returns the latest time at which a search can start and still be likely to end before its deadline. */
base::TimePoint latestStart(const SearchRequest&, const routing::RoutingState&);

/** Refuses a search that waited too long to start. Its verdict is NotRun. */
SearchStep refuseWaiting(Search&, SearchContext&, base::TimePoint now);

/** Pins a snapshot and sends the first attempts. */
SearchStep startSearch(Search&, SearchContext&, base::TimePoint now);

/** Processes the result of an attempt; ignores results of attempts that are not open. */
SearchStep attemptFinished(Search&, SearchContext&, const routing::AttemptResult&, base::TimePoint now);

/** Sends attempts and hedges that are due, and ends the search at its deadline. */
SearchStep timerExpired(Search&, SearchContext&, base::TimePoint now);

/** Sends waiting attempts for which there is now a free slot. */
SearchStep slotFreed(Search&, SearchContext&, base::TimePoint now);

}
