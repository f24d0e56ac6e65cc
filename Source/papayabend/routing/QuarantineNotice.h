#pragma once

#include <cstdint>

namespace papayabend::routing {

/** \struct QuarantineNotice
 * \brief Tells other hosts of a request that was in flight when an upstream's connection was lost.
 */
struct QuarantineNotice {
    uint64_t fingerprint { 0 }; /**< Hash of client account, service and content. */
    uint32_t crashes { 0 }; /**< Upstreams lost with the request in flight, as the sender knows. */
    bool isQuarantined { false };
    uint64_t validityUs { 0 };
    uint64_t lostUpstream { 0 }; /**< Hash of the upstream's name; hosts that lost the same one count it once. */
    uint64_t shard { 0 }; /**< Hash of the shard's name; 0 for a pool. */
};

}
