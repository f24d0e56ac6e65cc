#pragma once

#include "replay/Deployment.h"
#include "replay/Simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace papayabend::replay {

/** \struct Stream
 * \brief Poisson arrivals of one client account for one service, spread over hosts at random.
 */
struct Stream {
    std::string account;
    std::string service;
    double requestsPerSecond { 0 };
    Duration timeout { std::chrono::milliseconds(500) };
    std::vector<uint32_t> hosts; /**< Empty: all hosts. */
    std::string prefix { "q" }; /**< Of the bodies; must differ between streams of a simulation. */
};

/** Sets Simulation::arrivals to the streams from now until \a end. Arrivals depend on the seed and the streams only. */
void setArrivals(Simulation&, std::vector<Stream>, TimePoint end);

/** \struct Outcome
 * \brief Figures of the requests of one stream, or of all, in a measured window.
 */
struct Outcome {
    uint64_t requests { 0 };
    uint64_t answered { 0 };
    uint64_t complete { 0 };
    uint64_t refused { 0 };
    uint64_t reset { 0 };
    uint64_t unanswered { 0 };
    uint64_t callsSent { 0 };
    uint64_t callsNeeded { 0 }; /**< One per shard for each request that sent any. */
    double coverage { 0 }; /**< Sum over answers. */
    std::vector<uint32_t> latencies; /**< At the caller, in microseconds, of answered requests. */
    Duration window {};
};

/** Collects outcomes; constructed before the run, read after it. */
class Collector {
public:
    /** Counts requests that are sent in [from, until). */
    Collector(Simulation&, const Deployment&, TimePoint from, TimePoint until);

    /** Returns the figures of the service, or of all services if \a service is empty; likewise \a account. */
    Outcome outcome(const std::string& service = {}, const std::string& account = {}) const;

private:
    const Simulation& m_simulation;
    const Deployment& m_deployment;
    TimePoint m_from;
    TimePoint m_until;
};

/** Returns the \a share quantile; 0 without values. Sorts \a values. */
double quantile(std::vector<uint32_t>& values, double share);

}
