#pragma once

#include <cstdint>

namespace papayabend::routing {

/** \struct QuarantineNotice
 * \brief Message to other hosts about a request that was in flight when the connection to an upstream was lost.
 */
struct QuarantineNotice {
    uint64_t fingerprint { 0 }; /**< Hash of client account, service and content. */
    uint32_t crashes { 0 }; /**< Number of upstreams that the sender counts as lost with the request in flight. */
    bool isQuarantined { false };
    uint64_t validityUs { 0 }; /**< Duration of the quarantine. */
    uint64_t lostUpstream { 0 }; /**< Hash of the upstream's name, so that it is counted once; 0 if not known. */
    uint64_t shard { 0 }; /**< Hash of the shard's name; 0 for a pool. */
};

}
