#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/discovery/UpstreamDirectory.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace papayabend::dispatch {

/** \struct ColdBound
 * \brief How many attempts all hosts together may send to a cold upstream in any second: perSecond x overage + slack.
 */
struct ColdBound {
    double perSecond { 0 }; /**< Stated for the service; 0 for no bound. */
    double overage { 1.5 };
    double slack { 5 };
};

/** Returns how many attempts a second all hosts together aim at: at most half of the bound, so that the other half is
 * left for hosts that are not heard, and at most what the service states. */
double coldAim(const ColdBound&);

/** Returns how many attempts this host may send to the upstream with \a key in any coldWindow. \a part: this host's
 * part of the aim, in [0, 1]; a fraction of an attempt is rounded up on hosts that a hash selects. */
uint32_t coldAllotment(const ColdBound&, double part, uint64_t key, std::string_view host);

/** Returns how many of \a allotment attempts a request of the class \a rank may use, 0 being the most urgent: each
 * class leaves some of them to the more urgent ones. */
uint32_t coldAllotmentOf(uint32_t allotment, uint32_t rank);

/** A second, and the difference in the times that attempts take to the upstream. */
constexpr base::Duration coldWindow { std::chrono::milliseconds(1050) };

/** \class ColdUpstreams
 * \brief What upstreams have answered about their warm-up, and the attempts that this host has sent to cold ones.
 *
 * Upstreams are named by keyOf(), so that a later start under the same id has its own state. Not safe for use by
 * several threads.
 */
class ColdUpstreams {
public:
    /** Records that the upstream has answered that it is cold for \a left. Returns whether it was warm before by its
     * answers. */
    bool observe(uint64_t key, base::Duration left, base::TimePoint now);

    /** Returns when the upstream is warm, by its entry or its answers, whichever was read last. */
    base::TimePoint coldUntil(const discovery::UpstreamEntry&, uint64_t key) const;

    /** Counts an attempt that is sent to the upstream. */
    void take(uint64_t key, base::TimePoint now);

    /** Returns the number of attempts that were sent in the last coldWindow. */
    uint32_t sent(uint64_t key, base::TimePoint now) const;

    /** Returns the time until another attempt is within \a allotment; 0 if it is now, coldWindow for an allotment of 0.
     */
    base::Duration waitFor(uint64_t key, uint32_t allotment, base::TimePoint now) const;

    /** Removes what no longer matters. */
    void expire(base::TimePoint now);

    bool isEmpty() const { return m_states.empty(); }

private:
    struct State {
        base::TimePoint answeredAt {};
        base::TimePoint coldUntil {};
        std::deque<base::TimePoint> sentAt; /**< Oldest first. */
    };

    std::unordered_map<uint64_t, State> m_states;
};

}
