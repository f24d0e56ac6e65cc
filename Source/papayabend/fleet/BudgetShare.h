#pragma once

#include "papayabend/base/Time.h"

#include <cstddef>

namespace papayabend::fleet {

/** \struct BudgetShare
 * \brief State that determines this host's share of an allowance that all hosts have together.
 *
 * Hosts that callers are sent to need most of it. The shares may not add up to more than the whole, neither while hosts
 * are replaced nor in a partition. So the share of a host that starts, or that callers begin to be sent to, grows over
 * one window, since its predecessor may have used that share already. The shares of hosts that are no longer heard of
 * are not given to others for a while.
 */
struct BudgetShare {
    base::TimePoint startedAt {};
    base::TimePoint servingSince {};
    bool isServing { false };
    size_t peakServingHosts { 1 }; /**< Highest number of serving hosts within servingHostsPeakTime. */
    base::TimePoint peakServingHostsAt {};
};

/** Share of the allowance for the hosts that callers are sent to; the rest is divided equally over all hosts. */
constexpr double servingHostsShare = 0.8;

/** Time for which the highest number of serving hosts is used; as long as silent hosts are remembered. */
constexpr base::Duration servingHostsPeakTime { std::chrono::seconds(30) };

/** Records whether callers are sent to this host, and to how many hosts in all. */
void observe(BudgetShare&, bool isServing, size_t servingHosts, base::TimePoint now);

/** Returns this host's share, in [0, 1]. \a hosts: the number of known hosts; \a window: period of the allowance. */
double partOf(const BudgetShare&, size_t hosts, base::Duration window, base::TimePoint now);

}
