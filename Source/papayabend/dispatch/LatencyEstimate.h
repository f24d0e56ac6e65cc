#pragma once

#include "papayabend/base/Time.h"

namespace papayabend::dispatch {

/** \struct LatencyEstimate
 * \brief Running estimates of the median and of a high quantile of a route's upstream latency.
 *
 * Each sample moves an estimate by a step in proportion to it, up with the weight of the quantile and down with
 * the rest, so that no samples need to be kept.
 */
struct LatencyEstimate {
    double median { 0 }; /**< Microseconds; 0 before the first sample. */
    double high { 0 }; /**< Microseconds. */
    uint32_t samples { 0 };
};

/** Quantile that LatencyEstimate::high follows: a second attempt for one request in ten stays within the usual retry
 * budget of 0.2. */
constexpr double highQuantile = 0.9;

void addSample(LatencyEstimate&, base::Duration latency);

/** Returns the wait before a second attempt: the high quantile, at most a third of \a objective. */
base::Duration hedgeDelay(const LatencyEstimate&, base::Duration objective);

}
