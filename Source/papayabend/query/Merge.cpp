#include "papayabend/query/Merge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tbb/parallel_sort.h>

namespace papayabend::query {

namespace {

    double sortScore(const routing::Hit& hit)
    {
        return std::isnan(hit.score) ? -std::numeric_limits<double>::infinity() : hit.score;
    }

    bool isBetter(const routing::Hit& first, const routing::Hit& second)
    {
        auto a = sortScore(first);
        auto b = sortScore(second);
        return a != b ? a > b : first.document < second.document;
    }

}

void keepBestHits(std::vector<routing::Hit>& hits, uint32_t maxHits, size_t parallelThreshold)
{
    auto kept = std::min<size_t>(hits.size(), maxHits);
    if (hits.size() > parallelThreshold)
        tbb::parallel_sort(hits.begin(), hits.end(), isBetter);
    else
        std::partial_sort(hits.begin(), hits.begin() + static_cast<std::ptrdiff_t>(kept), hits.end(), isBetter);
    hits.resize(kept);
}

}
