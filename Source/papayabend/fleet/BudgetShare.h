#pragma once

#include "papayabend/base/Time.h"

#include <cstddef>

namespace papayabend::fleet {

/** \struct BudgetShare
 * \brief What decides this host's part of an allowance that all hosts share.
 *
 * Hosts that callers are sent to need most of it. Neither hosts that come and go nor a partition may add up to more
 * than the whole: a host that starts, or that callers are sent to anew, takes its part over one window, since its
 * predecessor may have used that part; hosts that are no longer seen keep theirs for a while.
 */
struct BudgetShare {
    base::TimePoint startedAt {};
    base::TimePoint servingSince {};
    bool isServing { false };
    size_t servingHosts { 1 }; /**< Most of them in the time before. */
    base::TimePoint servingHostsAt {};
};

/** Part of the allowance for the hosts that callers are sent to; the rest is for all hosts alike. */
constexpr double servingPart = 0.8;

/** Time for which the highest number of serving hosts holds; as long as silent hosts are remembered. */
constexpr base::Duration servingHostsTime { std::chrono::seconds(30) };

/** Takes whether callers are sent to this host, and to how many in all. */
void observe(BudgetShare&, bool isServing, size_t servingHosts, base::TimePoint now);

/** Returns this host's part, in [0, 1]. \a hosts: all that are known; \a window: time over which the allowance holds.
 */
double partOf(const BudgetShare&, size_t hosts, base::Duration window, base::TimePoint now);

}
