#include "papayabend/transport/Metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace papayabend::transport {

namespace {

    constexpr auto refusalCodes = static_cast<size_t>(base::RefusalCode::Internal) + 1;
    constexpr auto verdicts = static_cast<size_t>(base::Verdict::Ran) + 1;
    constexpr auto attemptStatuses = static_cast<size_t>(routing::AttemptStatus::Failed) + 1;

    // Bucket bounds around the latency goal of 93 ms for 99 % of answers.
    const prometheus::Histogram::BucketBoundaries seconds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.07, 0.093,
        0.12, 0.2, 0.5, 1, 2, 5, 10 };

    using Counters = std::vector<prometheus::Counter*>;

    prometheus::Family<prometheus::Counter>& counters(
        prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help,
        const std::map<std::string, std::string>& labels = {})
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels);
    }

    prometheus::Histogram& histogram(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, seconds);
    }

    Counters add(prometheus::Family<prometheus::Counter>& family, const char* label, auto names)
    {
        Counters all;
        for (const auto& name : names)
            all.push_back(&family.Add({ { label, name } }));
        return all;
    }

    Counters addRefusals(prometheus::Registry& registry)
    {
        auto& family = counters(
            registry, "papayabend_refusals_total", "Requests that got a refusal in place of an answer, by reason");
        Counters all;
        for (size_t code = 0; code < refusalCodes; ++code) {
            for (size_t verdict = 0; verdict < verdicts; ++verdict)
                all.push_back(
                    &family.Add({ { "reason", std::string(base::toString(static_cast<base::RefusalCode>(code))) },
                        { "verdict", std::string(base::toString(static_cast<base::Verdict>(verdict))) } }));
        }
        return all;
    }

    std::vector<std::string> attemptStatusNames()
    {
        std::vector<std::string> names;
        for (size_t n = 0; n < attemptStatuses; ++n)
            names.emplace_back(routing::toString(static_cast<routing::AttemptStatus>(n)));
        return names;
    }

}

struct Metrics::Impl {
    prometheus::Registry registry;
    Counters requests = add(counters(registry, "papayabend_requests_total", "Requests of callers, by kind"), "kind",
        std::array { "search", "ticket", "execution", "outcome", "entry_hosts" });
    Counters refusals = addRefusals(registry);
    Counters answers = add(counters(registry, "papayabend_answers_total", "Search answers, by coverage"), "coverage",
        std::array { "complete", "partial" });
    Counters attempts = add(counters(registry, "papayabend_attempts_total", "Ended calls to upstreams, by status"),
        "status", attemptStatusNames());
    Counters units = add(counters(registry, "papayabend_units_total", "Units of the pinned snapshots of all answers"),
        "state", std::array { "searched", "missing" });
    Counters bytes
        = add(counters(registry, "papayabend_control_bytes_total", "Bytes of control messages between hosts"),
            "direction", std::array { "sent", "received" });
    prometheus::Histogram& answerSeconds
        = histogram(registry, "papayabend_answer_seconds", "Time from the request's last byte to its answer");
    prometheus::Histogram& attemptSeconds
        = histogram(registry, "papayabend_attempt_seconds", "Duration of calls to upstreams");
    prometheus::Family<prometheus::Gauge>& versions = prometheus::BuildGauge()
                                                          .Name("papayabend_value_version")
                                                          .Help("Version of a published value in force, 0 for none")
                                                          .Register(registry);
    prometheus::Gauge& tableVersion = versions.Add({ { "key", "table" } });
    prometheus::Gauge& catalogVersion = versions.Add({ { "key", "catalog" } });
    prometheus::Gauge& serving = gauge(registry, "papayabend_serving", "1 while the host serves callers");
    prometheus::Gauge& callers = gauge(registry, "papayabend_caller_connections", "Open connections of callers");
    prometheus::Gauge& waiting
        = gauge(registry, "papayabend_waiting_requests", "Complete requests that wait for a thread");
    prometheus::Family<prometheus::Gauge>& upstreams = prometheus::BuildGauge()
                                                           .Name("papayabend_upstream_connections")
                                                           .Help("Connections to upstreams, by state")
                                                           .Register(registry);
    prometheus::Gauge& upstreamsReady = upstreams.Add({ { "state", "ready" } });
    prometheus::Gauge& upstreamsOther = upstreams.Add({ { "state", "not_ready" } });
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::requestReceived(Request kind) { m_impl->requests[static_cast<size_t>(kind)]->Increment(); }

void Metrics::refused(base::RefusalCode code, base::Verdict verdict)
{
    m_impl->refusals[static_cast<size_t>(code) * verdicts + static_cast<size_t>(verdict)]->Increment();
}

void Metrics::refused(std::string_view reason, std::string_view verdict)
{
    for (size_t n = 0; n < refusalCodes * verdicts; ++n) {
        auto code = static_cast<base::RefusalCode>(n / verdicts);
        if (base::toString(code) == reason && base::toString(static_cast<base::Verdict>(n % verdicts)) == verdict)
            refused(code, static_cast<base::Verdict>(n % verdicts));
    }
}

void Metrics::answered(const query::SearchAnswer& answer, base::Duration elapsed)
{
    const auto& coverage = answer.coverage;
    m_impl->answers[query::isComplete(coverage) ? 0 : 1]->Increment();
    m_impl->units[0]->Increment(static_cast<double>(coverage.unitsSearched));
    m_impl->units[1]->Increment(static_cast<double>(coverage.unitsTotal - coverage.unitsSearched));
    m_impl->answerSeconds.Observe(std::chrono::duration<double>(elapsed).count());
}

void Metrics::attemptFinished(routing::AttemptStatus status, base::Duration elapsed)
{
    m_impl->attempts[static_cast<size_t>(status)]->Increment();
    m_impl->attemptSeconds.Observe(std::chrono::duration<double>(elapsed).count());
}

void Metrics::controlBytes(Direction direction, size_t bytes)
{
    m_impl->bytes[static_cast<size_t>(direction)]->Increment(static_cast<double>(bytes));
}

std::string Metrics::text(const Gauges& gauges) const
{
    m_impl->tableVersion.Set(static_cast<double>(gauges.tableVersion));
    m_impl->catalogVersion.Set(static_cast<double>(gauges.catalogVersion));
    m_impl->serving.Set(gauges.isServing ? 1 : 0);
    m_impl->callers.Set(static_cast<double>(gauges.callerConnections));
    m_impl->waiting.Set(static_cast<double>(gauges.waitingRequests));
    m_impl->upstreamsReady.Set(static_cast<double>(gauges.readyUpstreamConnections));
    m_impl->upstreamsOther.Set(static_cast<double>(gauges.upstreamConnections - gauges.readyUpstreamConnections));
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}
