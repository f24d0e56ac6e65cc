#pragma once

#include <cstdint>

namespace papayabend::gateway {

/** \struct ReceiveBudget
 * \brief Bytes of unfinished answers that the connections of a host hold together.
 *
 * Each connection has a bound of its own, but a fan-out has many, so that a few upstreams whose bytes never end could
 * still fill the memory of a host. When the sum is reached, large unfinished answers are given up; small ones go on.
 */
struct ReceiveBudget {
    uint64_t maxBytes { 32 * 1024 * 1024 };
    /** Answers up to this size are never given up. */
    uint64_t smallAnswerBytes { 64 * 1024 };
    uint64_t bytes { 0 };
};

}
