#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::dispatch {

/** \struct LimitNotice
 * \brief The newest that a host knows of the limit of an upstream, as exchanged between hosts.
 */
struct LimitNotice {
    uint64_t upstream { 0 }; /**< See UpstreamLimits::keyOf(). */
    std::optional<double> perSecond; /**< Empty if the upstream names no limit any more. */
    base::Duration age { 0 }; /**< Time since the upstream's answer. */
};

/** \class UpstreamLimits
 * \brief Keeps this host within its share of the request rates that upstreams have named as their limits.
 *
 * A limit holds for all hosts together, and until the upstream answers without one. Token buckets; the share of a host
 * is given by the caller, see fleet::demandShare(). Not safe for use by several threads.
 */
class UpstreamLimits {
public:
    /** Most notices in a message to another host, which bounds its size. */
    static constexpr size_t maxNotices = 16;

    /** Returns the key of an upstream process: a later start under the same id has another one. */
    static uint64_t keyOf(std::string_view id, std::optional<int64_t> startedAt);

    /** Records that the upstream has answered with the limit \a perSecond, or with none. Returns whether it had another
     * one before. */
    bool observe(uint64_t key, std::optional<double> perSecond, base::TimePoint now);

    /** Applies what other hosts have observed more recently than this one. */
    void merge(std::span<const LimitNotice>, base::TimePoint now);

    /** Returns a random choice of at most maxNotices notices for another host. */
    std::vector<LimitNotice> notices(base::Random&, base::TimePoint now) const;

    /** Returns the limit of the upstream in requests per second, if it has one. */
    std::optional<double> limitOf(uint64_t key, base::TimePoint now) const;

    /** Returns the time until this host may send a request to the upstream; 0 if it may now. \a share: the part of the
     * limit that this host may use, in [0, 1]. \a waiting: requests that wait for a connection to the upstream and will
     * be sent before. */
    base::Duration waitFor(uint64_t key, double share, base::TimePoint now, uint32_t waiting = 0) const;

    /** Counts a request that is sent to the upstream. */
    void take(uint64_t key, double share, base::TimePoint now);

    /** Returns the number of upstreams with a limit. */
    size_t count(base::TimePoint now) const;
    /** Returns whether no upstream has named a limit lately. */
    bool isEmpty() const { return m_limits.empty(); }

private:
    struct Limit {
        std::optional<double> perSecond;
        base::TimePoint observedAt {};
        double tokens { 0 };
        base::TimePoint refilledAt {}; /**< Default before the first request; the bucket then counts as full. */
    };

    static bool isKnown(const Limit&, base::TimePoint now);
    static double tokensOf(const Limit&, double rate, base::TimePoint now);
    void discardExpired(base::TimePoint now);

    std::unordered_map<uint64_t, Limit> m_limits;
};

}
