#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::query {

/** \struct MissingShard
 * \brief Shard that is absent from an answer, with the reason.
 */
struct MissingShard {
    std::string shard;
    uint64_t units { 0 };
    std::string reason;
};

/** \struct Coverage
 * \brief Part of the pinned snapshot that an answer was computed from, in documents.
 */
struct Coverage {
    uint64_t unitsTotal { 0 };
    uint64_t unitsSearched { 0 };
    std::vector<MissingShard> missing;
};

/** Returns whether every shard of the snapshot was searched in full. */
bool isComplete(const Coverage&);

/** Returns the searched share in [0, 1]; 1 only for a complete answer. */
double coveredShare(const Coverage&);

}
