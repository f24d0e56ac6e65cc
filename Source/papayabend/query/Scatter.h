#pragma once

#include "papayabend/query/Search.h"

namespace papayabend::query {

/**
 * Sends the next attempt for a shard. If no usable replica has a free slot, the shard waits for one. If no replica is
 * usable or too little time is left, the shard is given up.
 */
void sendNext(Search&, SearchContext&, size_t shardIndex, SearchStep&, base::TimePoint now);

/** Starts the fan-out: sends an attempt for each shard that has neither an answer nor an open attempt. */
void fanOut(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/**
 * Sends a canary attempt to a single upstream, which is the same on every host as long as it has a free slot. Gives up
 * all shards if no upstream is left to try.
 */
void sendCanary(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/** Sends the hedges that are due and within the budgets. */
void sendHedges(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/** Cancels all open attempts of a shard. */
void cancelOpenAttempts(Search&, SearchContext&, ShardProgress&, SearchStep&, base::TimePoint now);

/** Takes one retry from the retry budget. Returns whether the budget and the shard's limit of attempts allow it. */
bool tryTakeRetry(Search&, SearchContext&, const ShardProgress&, base::TimePoint now);

/** Returns whether more than half the median attempt latency is left before the deadline. */
bool hasTimeForAttempt(const Search&, const SearchContext&, base::TimePoint now);

}
