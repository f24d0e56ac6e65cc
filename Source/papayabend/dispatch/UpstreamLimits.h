#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \class UpstreamLimits
 * \brief The request rates that upstreams have named as their limits.
 *
 * A limit holds for all hosts together, and until the upstream answers without one. Not safe for use by several
 * threads.
 */
class UpstreamLimits {
public:
    /** Returns the key of an upstream process: a later start under the same id has another one. */
    static uint64_t keyOf(std::string_view id, std::optional<int64_t> startedAt);

    /** Records that the upstream has answered with the limit \a perSecond, or with none. Returns whether it had another
     * one before. */
    bool observe(uint64_t key, std::optional<double> perSecond, base::TimePoint now);

    /** Returns the limit of the upstream in requests per second, if it has one. */
    std::optional<double> limitOf(uint64_t key, base::TimePoint now) const;

    /** Returns the number of upstreams with a limit. */
    size_t count(base::TimePoint now) const;

private:
    struct Limit {
        std::optional<double> perSecond;
        base::TimePoint observedAt {};
    };

    static bool isKnown(const Limit&, base::TimePoint now);

    std::unordered_map<uint64_t, Limit> m_limits;
};

}
