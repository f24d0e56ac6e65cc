#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/fleet/EntryValidity.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/ClientConnections.h"
#include "papayabend/table/Table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \struct HostSettings
 * \brief Name, location and capacity of this host.
 */
struct HostSettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    double cores { 1 }; /**< Processor cores that the host may use. */
};

/** \struct ListenSettings
 * \brief IPv4 addresses and ports to listen on. Entries with equal addresses share a listener.
 */
struct ListenSettings {
    std::string callers;
    std::string readiness;
    std::string entry; /**< Requests of callers for the addresses to use. */
    std::string peers; /**< Heartbeats over UDP, content over TCP. */
    std::string metrics;
};

/** \struct PeerSettings
 * \brief Hosts through which this host joins the fleet.
 */
struct PeerSettings {
    std::vector<std::string> seeds; /**< Their ports are replaced by that of listen.peers. */
};

/** \struct StoreSettings
 * \brief The configuration store.
 */
struct StoreSettings {
    std::string address;
};

/** \struct BudgetSettings
 * \brief Limit of attempts after the first ones at one service, over all hosts.
 */
struct BudgetSettings {
    double ratio { 0.2 };
    double extra { 50 };
    double windowSeconds { 10 };
};

/** \struct StopSettings
 * \brief Planned stop.
 */
struct StopSettings {
    double graceSeconds { 6 }; /**< Longest time from the signal to the end of the process. */
};

/** \struct ColdUpstreamSettings
 * \brief Bound of the attempts to a cold upstream in any second, over all hosts: what its service states times overage,
 * and slack.
 */
struct ColdUpstreamSettings {
    double overage { 1.5 };
    double slack { 5 };
};

/** \struct EntryAnswerSettings
 * \brief Answers to requests for the addresses to use.
 */
struct EntryAnswerSettings {
    double timeToLiveSeconds { 1 };
    /** Used while no host of the fleet starts, stops or is lost; 0: equal to timeToLiveSeconds. */
    double calmTimeToLiveSeconds { 0 };
    uint32_t hostsPerFailureDomain { 3 }; /**< Least number of hosts that callers are sent to. */
    /** Attempts per second and core above which callers are sent to one more host. */
    uint32_t attemptsPerCore { 6000 };
    bool prefersStrongHosts { false }; /**< Weak hosts are named only if the strong ones do not suffice. */
};

/** \struct UpstreamChoiceSettings
 * \brief Choice of the upstream for each attempt.
 */
struct UpstreamChoiceSettings {
    bool learnsCapacity { false }; /**< Chooses by dispatch::UpstreamEstimate. */
};

/** \struct AdmissionSettings
 * \brief Limits of the fan-outs that run at once.
 */
struct AdmissionSettings {
    bool sharesOverFleet { false }; /**< All hosts share one bound for a set of shards, see FleetAdmission. */
};

/** \struct TableSettings
 * \brief The table of weights and limits of client accounts.
 */
struct TableSettings {
    std::string file; /**< CSV file as described in docs/table.md; if empty, all requests belong to one account. */
};

/** \struct EventLogSettings
 * \brief Limits on the lines that are logged per second.
 */
struct EventLogSettings {
    uint32_t changesPerSecond { 100 }; /**< Lines for changes of upstreams and items. */
    uint32_t failuresPerSecond { 100 }; /**< Lines for failed requests. */
    uint32_t successesPerSecond { 5 }; /**< Lines for served requests. */
};

/** \struct ClientSettings
 * \brief Bounds on what clients of all listeners may take of this host.
 *
 * A single client that keeps to the limits of the configuration reaches none of the defaults.
 */
struct ClientSettings {
    /** Bytes of messages that all connections may hold before the largest ones are given up. */
    uint32_t bufferedBytes { 32 * 1024 * 1024 };
    uint32_t connections { 0 }; /**< Of all listeners; 0: what reservedDescriptors leaves. */
    uint32_t connectionsPerListener { 0 }; /**< 0: seven eighths of those of all listeners. */
    /** File descriptors for upstreams, the store, hosts and files; 0: a third of the limit of the process. */
    uint32_t reservedDescriptors { 0 };
    uint32_t headerFields { 4096 }; /**< Of a request, those of its trailer included. */
    /** Of a request: sizes and extensions of chunks, and the trailer. */
    uint32_t chunkFramingBytes { 2 * 1024 * 1024 };
};

/** \struct GatewaySettings
 * \brief Everything that a gateway reads from its settings file.
 */
struct GatewaySettings {
    HostSettings host;
    ListenSettings listen;
    PeerSettings peers;
    StoreSettings store;
    BudgetSettings retryBudget;
    StopSettings stop;
    ColdUpstreamSettings coldUpstreams;
    EntryAnswerSettings entryAnswers;
    UpstreamChoiceSettings routing;
    AdmissionSettings admission;
    TableSettings table;
    EventLogSettings log;
    ClientSettings clients;
};

/** Parses JSON with comments; errors state the file, key, value and allowed range. */
std::optional<GatewaySettings> parseGatewaySettings(
    std::string_view text, std::string_view file, base::LastReason& reason);

/** Reads and parses \a file. */
std::optional<GatewaySettings> readGatewaySettings(const std::string& file, base::LastReason& reason);

/** Reads and parses the table file; returns nullptr if the settings name none. */
std::optional<std::shared_ptr<const table::Table>> readTable(const TableSettings&, base::LastReason& reason);

/** Returns the effective settings as JSON that parseGatewaySettings() accepts. */
std::string toJson(const GatewaySettings&);

/** Converts to the settings that choose the hosts to which callers are sent. */
fleet::ServingSettings servingOf(const EntryAnswerSettings&);

/** Converts to the settings that determine how long an entry answer is valid. */
fleet::EntryValiditySettings validityOf(const EntryAnswerSettings&, const StopSettings&);

/** Converts to the bounds on client connections of a process that may have \a descriptors open. */
ConnectionBounds boundsOf(const ClientSettings&, size_t descriptors);

/** Converts to the settings of the retry budget. */
dispatch::RetryBudgetSettings budgetOf(const BudgetSettings&);

}
