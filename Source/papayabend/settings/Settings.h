#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"
#include "papayabend/engine/Engine.h"
#include "papayabend/routing/RoutingSettings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::settings {

/** \struct HostSettings
 * \brief Name, failure domain and region of this host, and the addresses it listens on.
 */
struct HostSettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    std::string callerAddress; /**< IP address and port for callers. */
    std::string peerAddress; /**< IP address and port for other hosts. */
    std::string operatorAddress; /**< IP address and port for operators. */
};

/** \struct PlatformSettings
 * \brief The configuration service and the hosts to contact first.
 */
struct PlatformSettings {
    std::string address; /**< IP address and port of the configuration service. */
    std::vector<std::string> seedPeers; /**< Peer addresses of other hosts, used until the host list has been read. */
};

/** \struct HttpServerSettings
 * \brief Limits of an HTTP interface. They bound the memory and threads that callers can occupy.
 */
struct HttpServerSettings {
    uint32_t threads { 32 }; /**< Requests that are handled at the same time. */
    uint32_t queuedRequests { 1024 }; /**< Complete requests that wait for a thread. */
    uint32_t connections { 4096 };
    uint32_t bodyBytes { 64 * 1024 };
    uint32_t bufferBytes { 64 * 1024 * 1024 }; /**< Bytes of incomplete requests over all connections. */
    base::Duration idleTimeout { std::chrono::seconds(60) }; /**< Longest time between two requests on a connection. */
    base::Duration readTimeout { std::chrono::seconds(5) }; /**< From the first byte of a request to its last. */
    base::Duration writeTimeout { std::chrono::seconds(5) }; /**< Longest time to write an answer to a client. */
    base::Duration maxDeadline { std::chrono::seconds(60) }; /**< Largest deadlineMs of a request. */
};

/** \struct UpstreamSettings
 * \brief Connections to upstreams.
 */
struct UpstreamSettings {
    uint32_t connectionsPerUpstream { 1 };
    base::Duration connectTimeout { std::chrono::seconds(1) };
    base::Duration minReconnectDelay { std::chrono::milliseconds(100) };
    base::Duration maxReconnectDelay { std::chrono::seconds(5) };
};

struct LogSettings {
    std::string level { "info" };
};

/** \struct Settings
 * \brief All settings that a process reads when it starts.
 */
struct Settings {
    HostSettings host;
    PlatformSettings platform;
    HttpServerSettings entry;
    HttpServerSettings operators { .threads = 2, .queuedRequests = 64, .connections = 64, .bodyBytes = 1024 };
    UpstreamSettings upstreams;
    routing::RoutingSettings routing; /**< Sections routing, hedging, retries, quarantine and recovery. */
    engine::EngineSettings engine; /**< Sections admission, quotas, tickets, entryAnswers and stop. */
    LogSettings log;
};

/** Parses JSON with comments. Errors name \a file, the key, its value and the allowed range. */
std::optional<Settings> parseSettings(std::string_view text, std::string_view file, base::LastReason& reason);

/** Reads and parses \a file. */
std::optional<Settings> readSettings(const std::string& file, base::LastReason& reason);

/** Returns the effective settings as JSON that parseSettings() accepts. */
std::string toJson(const Settings&);

}
