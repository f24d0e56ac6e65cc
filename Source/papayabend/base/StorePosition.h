#pragma once

#include <compare>
#include <cstdint>

namespace papayabend::base {

/** \struct StorePosition
 * \brief A point in the history of the configuration store.
 *
 * Revisions are comparable only within one era: a store that returns from an older copy of its data gives out the same
 * revisions again, for other changes.
 */
struct StorePosition {
    uint64_t era { 0 }; /**< Rises each time the store returns from an older copy of its data. */
    uint64_t revision { 0 };

    friend bool operator==(const StorePosition&, const StorePosition&) = default;
    friend std::strong_ordering operator<=>(const StorePosition& a, const StorePosition& b)
    {
        return a.era == b.era ? a.revision <=> b.revision : a.era <=> b.era;
    }
};

}
