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
 * \brief Service that receives a part of a route's requests, in proportion to its weight.
 */
struct Destination {
    std::string service;
    double weight { 1 };
};

/** \struct Route
 * \brief Rule for the requests of one virtual host and path prefix.
 *
 * Either destinations or shards is set: a request goes to one of the destinations or to every shard.
 */
struct Route {
    std::string name;
    std::string host; /**< Lower case, without a port. */
    std::string prefix; /**< Begins and ends with a slash. */
    bool idempotent { false };
    base::Duration timeout { 0 }; /**< Longest time for which a request is kept; 0 for no bound. */
    base::Duration latencyObjective { 0 }; /**< Time within which an answer has its full value; 0 for none. */
    uint32_t priority { 0 }; /**< 0 is the most urgent. */
    uint32_t maxAttempts { 1 }; /**< Upstreams that one request, or one shard of it, may be sent to. */
    std::vector<Destination> destinations;
    std::vector<std::string> shards; /**< Services that each hold one part of the data. */
    uint32_t maxRecords { 0 }; /**< Records of a merged answer. */
    double minShardShare { 1 }; /**< Least share of the shards of an answer, in [0, 1]. */

    bool isFanOut() const { return !shards.empty(); }
};

/** \struct ClientLimits
 * \brief Bounds for what a client may send and how long it may take.
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
    ClientLimits limits;
    /** Index of a route by host and prefix; built by indexed(). */
    std::unordered_map<std::string, size_t> index;
};

/** Checks \a configuration and builds its index. The reason names the route and the value that is refused. */
std::shared_ptr<const Configuration> indexed(Configuration configuration, base::LastReason& reason);

/** Returns the route of \a host with the longest prefix that begins the path of \a target, or nullptr. */
const Route* findRoute(const Configuration&, std::string_view host, std::string_view target);

/** Returns \a host in lower case and without its port. */
std::string canonicalHost(std::string_view host);

}
