#pragma once

#include <cstdint>
#include <string>

namespace papayabend::dissemination {

/** \struct ValueDigest
 * \brief Version and content hash of a published value that a host has in force.
 */
struct ValueDigest {
    std::string key; /**< "table" or "catalog". */
    uint64_t version { 0 }; /**< Number set by the operators; 0 for none. */
    uint64_t contentHash { 0 };
};

}
