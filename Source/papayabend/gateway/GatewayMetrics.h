#pragma once

#include "papayabend/base/Time.h"

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <set>
#include <string>

namespace papayabend::gateway {

/** \class GatewayMetrics
 * \brief Counters, gauges and latency histograms of a gateway; docs/OPERATIONS.md lists them.
 */
class GatewayMetrics {
public:
    GatewayMetrics();

    /** Counts an answered request of \a route by its outcome, for example "whole" or "refused", and records its
     * latency. */
    void requestEnded(const std::string& route, const std::string& outcome, base::Duration latency);
    /** Counts an attempt that was sent after the first one of its shard, by its cause. */
    void extraAttempt(const std::string& cause);
    /** Counts an attempt that was not made because the retry budget did not allow it. */
    void extraDenied();
    /** Counts an attempt that was not sent to the upstream for which it had waited, by the reason. */
    void attemptWithheld(const std::string& reason);
    /** Records the time that an attempt waited for a connection. */
    void attemptWaited(base::Duration);
    /** Records how many shards a merged answer lacks. */
    void shardsMissing(size_t);
    /** Sets the gauge whose name is "papayabend_gateway_" and \a name; creates it on first use. */
    void setGauge(const std::string& name, double value);
    /** Raises the counter whose name is "papayabend_gateway_" and \a name to \a value; creates it on first use. */
    void setCounter(const std::string& name, double value);

    /** Raises the counter of refused and closed clients for \a reason to \a value. */
    void setClientRefusals(const std::string& reason, double value);

    /** Returns the metrics in the text format of Prometheus. */
    std::string render() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Counter>& m_extra;
    prometheus::Family<prometheus::Counter>& m_clientRefusals;
    prometheus::Counter& m_denied;
    prometheus::Family<prometheus::Counter>& m_withheld;
    prometheus::Histogram& m_wait;
    prometheus::Histogram& m_missing;
    std::set<std::string> m_routes;
    std::map<std::string, prometheus::Gauge*> m_gauges;
    std::map<std::string, prometheus::Counter*> m_counters;
};

}
