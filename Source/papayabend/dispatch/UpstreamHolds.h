#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <unordered_map>

namespace papayabend::dispatch {

/** \class UpstreamHolds
 * \brief Upstreams that have asked this host in an answer to send nothing: for a time, or for good because they leave.
 *
 * Upstreams are named by UpstreamLimits::keyOf(), so that a later start under the same id is not held. Not safe for use
 * by several threads.
 */
class UpstreamHolds {
public:
    /** Longest pause that is kept; a longer one is shortened. */
    static constexpr base::Duration maxPause { std::chrono::seconds(60) };

    /** Records that the upstream leaves. Returns whether this is new. */
    bool addLeaving(uint64_t key, base::TimePoint now);

    /** Records that the upstream wants nothing for \a pause. A random part is added, so that hosts do not return at the
     * same time. */
    void addPause(uint64_t key, base::Duration pause, base::Random&, base::TimePoint now);

    bool isLeaving(uint64_t key) const;
    /** Returns the time until the upstream takes requests again; 0 if it does now. */
    base::Duration pauseLeft(uint64_t key, base::TimePoint now) const;

    /** Removes what no longer matters. */
    void expire(base::TimePoint now);

    size_t countLeaving() const;
    size_t countPaused(base::TimePoint now) const;
    bool isEmpty() const { return m_holds.empty(); }

private:
    struct Hold {
        bool isLeaving { false };
        base::TimePoint leavingSince {};
        base::TimePoint pausedUntil {};
    };

    std::unordered_map<uint64_t, Hold> m_holds;
};

}
