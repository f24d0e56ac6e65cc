#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"
#include "papayabend/query/Search.h"

#include <memory>
#include <tbb/concurrent_hash_map.h>

namespace papayabend::engine {

/** \class SearchPath
 * \brief Running searches of the host. Safe for use by several threads; events of one search are serialised.
 */
class SearchPath {
public:
    explicit SearchPath(SharedState&);

    Actions start(query::SearchRequest, base::TimePoint now);
    Actions attemptFinished(const routing::AttemptResult&, base::TimePoint now);
    Actions timerExpired(routing::RequestId, base::TimePoint now);

private:
    struct RunningSearch {
        query::Search search;
        base::Random random;
        routing::AttemptId lastAttempt { 0 };
    };
    using Searches = tbb::concurrent_hash_map<routing::RequestId, std::shared_ptr<RunningSearch>>;

    query::SearchContext contextOf(RunningSearch&);
    Actions perform(Searches::accessor&, query::SearchStep&&);

    SharedState& m_shared;
    Searches m_searches;
};

}
