#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::routes {

/** \struct Destination
 * \brief Service that receives requests of a route, in proportion to its weight.
 */
struct Destination {
    std::string service;
    double weight { 1 };
};

/** \struct Route
 * \brief Rules for the requests to one virtual host and path prefix.
 *
 * Either destinations or shards are set: a request is sent to one of the destinations or to every shard.
 */
struct Route {
    std::string name;
    std::string host; /**< Lower case, without a port. */
    std::string prefix; /**< Path prefix; begins and ends with a slash. */
    bool idempotent { false }; /**< A request may run more than once. */
    base::Duration timeout { 0 }; /**< Maximum time until a request is answered; 0 for no bound. */
    base::Duration latencyObjective { 0 }; /**< Time within which a request should be answered; 0 for none. */
    uint32_t priority { 0 }; /**< 0 is the most urgent. */
    uint32_t maxAttempts { 1 }; /**< Number of upstreams that may run a request, or its part for one shard. */
    std::vector<Destination> destinations;
    std::vector<std::string> shards; /**< Services that each hold a part of the data. */
    uint32_t maxRecords { 0 }; /**< Maximum number of records in a merged answer. */
    double minShardShare { 1 }; /**< Minimum share of the shards that an answer must cover, in [0, 1]. */

    bool isFanOut() const { return !shards.empty(); }
};

/** \struct ClientLimits
 * \brief Bounds for the size and the duration of what a client sends.
 */
struct ClientLimits {
    uint32_t headerBytes { 16 * 1024 };
    uint32_t bodyBytes { 256 * 1024 };
    base::Duration headerTimeout { std::chrono::seconds(3) };
    base::Duration idleTimeout { std::chrono::seconds(15) };
};

/** \struct Configuration
 * \brief One version of the operator's routes, services and limits. Immutable once published.
 */
struct Configuration {
    uint64_t version { 0 };
    std::vector<Route> routes;
    std::unordered_map<std::string, uint32_t> maxConnections; /**< By service, over all hosts; 0 for no bound. */
    /** Requests per second that a cold upstream tolerates, by service; absent for no bound. */
    std::unordered_map<std::string, double> coldRequestsPerSecond;
    ClientLimits limits;
    /** Position in routes by virtual host and prefix; built by indexed(). */
    std::unordered_map<std::string, size_t> index;
};

/** Returns why \a route is invalid; empty if it is valid. */
std::string problemOf(const Route& route);

/** Checks \a configuration and builds its index. If it returns nullptr, the reason names the first invalid route and
 * the error. */
std::shared_ptr<const Configuration> indexed(Configuration configuration, base::LastReason& reason);

/** Returns the route of \a host with the longest prefix of the path of \a target, or nullptr. */
const Route* findRoute(const Configuration&, std::string_view host, std::string_view target);

/** Returns \a host in lower case and without its port. */
std::string canonicalHost(std::string_view host);

}
