#pragma once

#include "papayabend/base/Time.h"

namespace papayabend::dispatch {

/** \struct LatencyEstimate
 * \brief Running estimates of the median and of a high quantile of a route's upstream latency.
 *
 * Each sample moves an estimate by a fraction of its value: upwards in proportion to the quantile, downwards in
 * proportion to the rest. No samples are kept.
 */
struct LatencyEstimate {
    double median { 0 }; /**< Microseconds; 0 before the first sample. */
    double high { 0 }; /**< The quantile highQuantile, in microseconds. */
    uint32_t samples { 0 };
};

/** Quantile that LatencyEstimate::high estimates. It leads to a second attempt for one request in ten, which stays
 * within the usual retry budget of 0.2. */
constexpr double highQuantile = 0.9;

void addSample(LatencyEstimate&, base::Duration latency);

/** Returns the time to wait for the first attempt before a second one is sent: the high quantile, but at
 * most a third of \a objective, or one second if the route has none and \a objective is 0. While there are too few
 * samples, the upper bound itself is returned. The result is never less than 8 ms. */
base::Duration hedgeDelay(const LatencyEstimate&, base::Duration objective);

}
