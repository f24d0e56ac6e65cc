#include "replay/Load.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace papayabend::replay {

namespace {

    struct Source {
        Stream stream;
        base::Random random;
        TimePoint next {};
        uint64_t count { 0 };

        void advance()
        {
            double seconds = -std::log(1 - base::uniform(random)) / stream.requestsPerSecond;
            next += Duration(static_cast<Duration::rep>(seconds * 1e6));
        }
    };

}

void setArrivals(Simulation& simulation, std::vector<Stream> streams, TimePoint end)
{
    auto sources = std::make_shared<std::vector<Source>>();
    for (size_t n = 0; n < streams.size(); ++n) {
        if (streams[n].requestsPerSecond <= 0)
            continue;
        auto& source = sources->emplace_back(
            Source { std::move(streams[n]), base::Random(simulation.seed * 7919 + n), simulation.now });
        source.advance();
    }
    auto hostCount = simulation.hosts.size();
    simulation.arrivals = [sources, end, hostCount]() -> std::optional<Request> {
        auto it = std::ranges::min_element(*sources, {}, &Source::next);
        if (it == sources->end() || it->next >= end)
            return std::nullopt;
        Request request;
        request.account = it->stream.account;
        request.service = it->stream.service;
        request.body = it->stream.prefix + std::to_string(it->count++);
        request.timeout = it->stream.timeout;
        request.sentAt = it->next;
        const auto& hosts = it->stream.hosts;
        request.host = hosts.empty() ? static_cast<uint32_t>(base::uniformIndex(it->random, hostCount))
                                     : hosts[base::uniformIndex(it->random, hosts.size())];
        it->advance();
        return request;
    };
}

Collector::Collector(Simulation& simulation, const Deployment& deployment, TimePoint from, TimePoint until)
    : m_simulation(simulation)
    , m_deployment(deployment)
    , m_from(from)
    , m_until(until)
{
}

Outcome Collector::outcome(const std::string& service, const std::string& account) const
{
    Outcome outcome;
    outcome.window = m_until - m_from;
    for (const auto& request : m_simulation.requests) {
        if (request.sentAt < m_from || request.sentAt >= m_until || (!service.empty() && request.service != service)
            || (!account.empty() && request.account != account))
            continue;
        ++outcome.requests;
        outcome.callsSent += request.callsSent;
        if (request.callsSent > 0)
            outcome.callsNeeded += std::max(shapeOf(m_deployment, request.service).shards, 1U);
        switch (request.outcome) {
        case RequestOutcome::Answered:
            ++outcome.answered;
            outcome.coverage += request.coverage;
            outcome.complete += request.coverage >= 1;
            outcome.latencies.push_back(static_cast<uint32_t>((request.finishedAt - request.sentAt).count()));
            break;
        case RequestOutcome::Refused:
            ++outcome.refused;
            break;
        case RequestOutcome::Reset:
            ++outcome.reset;
            break;
        case RequestOutcome::Open:
            ++outcome.unanswered;
        }
    }
    return outcome;
}

double quantile(std::vector<uint32_t>& values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    auto n = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<size_t>(n, 1, values.size()) - 1];
}

}
