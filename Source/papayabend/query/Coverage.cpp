#include "papayabend/query/Coverage.h"

namespace papayabend::query {

bool isComplete(const Coverage& coverage)
{
    return coverage.missing.empty() && coverage.unitsSearched == coverage.unitsTotal;
}

double coveredShare(const Coverage& coverage)
{
    if (isComplete(coverage))
        return 1;
    if (coverage.unitsTotal == 0)
        return 0;
    return static_cast<double>(coverage.unitsSearched) / static_cast<double>(coverage.unitsTotal);
}

}
