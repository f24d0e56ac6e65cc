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
};

}
