#pragma once

#include "papayabend/query/Search.h"

namespace papayabend::query {

/** Sends a shard's next attempt, has it wait for a slot, or gives the shard up. */
void sendNext(Search&, SearchContext&, size_t shard, SearchStep&, base::TimePoint now);

/** Sends the first attempt of each shard that has none. */
void fanOut(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/** Sends an attempt to one upstream alone, the same on every host. */
void sendCanary(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/** Sends the hedges that are due and that the budgets allow. */
void sendHedges(Search&, SearchContext&, SearchStep&, base::TimePoint now);

/** Cancels a shard's open attempts. */
void cancelOpen(Search&, SearchContext&, ShardProgress&, SearchStep&, base::TimePoint now);

/** Returns whether one more retry is within the budget, and takes it. */
bool takeRetry(Search&, SearchContext&, const ShardProgress&, base::TimePoint now);

/** Returns whether the time that is left suffices for an attempt. */
bool hasTimeForAttempt(const Search&, const SearchContext&, base::TimePoint now);

}
