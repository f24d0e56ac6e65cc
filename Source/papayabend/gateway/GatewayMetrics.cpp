#include "papayabend/gateway/GatewayMetrics.h"

#include <prometheus/text_serializer.h>

namespace papayabend::gateway {

namespace {

    const prometheus::Histogram::BucketBoundaries latencySeconds { 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3,
        0.5, 0.75, 1, 2, 5 };
    const prometheus::Histogram::BucketBoundaries waitSeconds { 0.0001, 0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5 };
    const prometheus::Histogram::BucketBoundaries missingShards { 0, 1, 2, 5, 10, 20, 50 };
    // Limits the size of the metrics when configurations add and remove routes; further routes count as "other".
    constexpr size_t maxRoutes = 64;

}

GatewayMetrics::GatewayMetrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("papayabend_gateway_requests_total")
                     .Help("Client requests by route and outcome")
                     .Register(m_registry))
    , m_latency(prometheus::BuildHistogram()
                    .Name("papayabend_gateway_request_seconds")
                    .Help("Time from the arrival of a request to its answer")
                    .Register(m_registry))
    , m_extra(prometheus::BuildCounter()
                  .Name("papayabend_gateway_extra_attempts_total")
                  .Help("Attempts after the first one of a shard, by cause")
                  .Register(m_registry))
    , m_clientRefusals(prometheus::BuildCounter()
                           .Name("papayabend_gateway_client_refusals_total")
                           .Help("Refused requests and closed connections of clients, by reason")
                           .Register(m_registry))
    , m_denied(prometheus::BuildCounter()
                   .Name("papayabend_gateway_extra_attempts_denied_total")
                   .Help("Attempts after the first one of a shard that the retry budget did not allow")
                   .Register(m_registry)
                   .Add({}))
    , m_withheld(prometheus::BuildCounter()
                     .Name("papayabend_gateway_attempts_withheld_total")
                     .Help("Attempts that were not sent to the upstream for which they had waited, by reason")
                     .Register(m_registry))
    , m_wait(prometheus::BuildHistogram()
                 .Name("papayabend_gateway_upstream_wait_seconds")
                 .Help("Time that an attempt waited for a connection to its upstream")
                 .Register(m_registry)
                 .Add({}, waitSeconds))
    , m_missing(prometheus::BuildHistogram()
                    .Name("papayabend_gateway_missing_shards")
                    .Help("Number of shards that are missing from a merged answer")
                    .Register(m_registry)
                    .Add({}, missingShards))
{
}

void GatewayMetrics::requestEnded(const std::string& route, const std::string& outcome, base::Duration latency)
{
    prometheus::Labels labels { { "route", route } };
    if (!m_routes.contains(route) && m_routes.size() >= maxRoutes)
        labels["route"] = "other";
    else
        m_routes.insert(route);
    m_latency.Add(labels, latencySeconds).Observe(std::chrono::duration<double>(latency).count());
    labels["outcome"] = outcome;
    m_requests.Add(labels).Increment();
}

void GatewayMetrics::extraAttempt(const std::string& cause) { m_extra.Add({ { "cause", cause } }).Increment(); }

void GatewayMetrics::extraDenied() { m_denied.Increment(); }

void GatewayMetrics::attemptWithheld(const std::string& reason)
{
    m_withheld.Add({ { "reason", reason } }).Increment();
}

void GatewayMetrics::attemptWaited(base::Duration wait) { m_wait.Observe(std::chrono::duration<double>(wait).count()); }

void GatewayMetrics::shardsMissing(size_t count) { m_missing.Observe(static_cast<double>(count)); }

void GatewayMetrics::setGauge(const std::string& name, double value)
{
    auto& gauge = m_gauges[name];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name("papayabend_gateway_" + name).Register(m_registry).Add({});
    gauge->Set(value);
}

void GatewayMetrics::setCounter(const std::string& name, double value)
{
    auto& counter = m_counters[name];
    if (!counter)
        counter = &prometheus::BuildCounter().Name("papayabend_gateway_" + name).Register(m_registry).Add({});
    counter->Increment(value - counter->Value());
}

void GatewayMetrics::setClientRefusals(const std::string& reason, double value)
{
    auto& counter = m_clientRefusals.Add({ { "reason", reason } });
    counter.Increment(value - counter.Value());
}

std::string GatewayMetrics::render() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

}
