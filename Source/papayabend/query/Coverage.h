#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::query {

/** \struct MissingShard
 * \brief Shard that was not searched in full, with the reason.
 */
struct MissingShard {
    std::string shard;
    uint64_t units { 0 }; /**< Units that were not searched. */
    std::string reason;
};

/** \struct Coverage
 * \brief Part of the pinned snapshot that was searched for an answer. A unit is one document.
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
