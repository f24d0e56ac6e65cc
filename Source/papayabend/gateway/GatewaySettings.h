#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/table/Table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \struct HostSettings
 * \brief Name and place of this host.
 */
struct HostSettings {
    std::string name;
    std::string failureDomain;
    std::string region;
    double cores { 1 }; /**< Processor time that the host has. */
};

/** \struct ListenSettings
 * \brief IPv4 addresses and ports to listen on. Equal addresses share a listener.
 */
struct ListenSettings {
    std::string callers;
    std::string readiness;
    std::string entry; /**< Questions for the addresses to use. */
    std::string peers; /**< UDP and TCP. */
    std::string metrics;
};

/** \struct PeerSettings
 * \brief Hosts to contact first.
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
 * \brief Attempts beyond the first ones at one service, over all hosts.
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
    double graceSeconds { 6 }; /**< From the signal to the end of the process. */
};

/** \struct EntryAnswerSettings
 * \brief Answers to questions for addresses.
 */
struct EntryAnswerSettings {
    double timeToLiveSeconds { 1 };
    uint32_t hostsPerFailureDomain { 3 }; /**< That callers are sent to, at least. */
    uint32_t attemptsPerCore { 6000 }; /**< Attempts a second for each core before one more host is taken. */
};

/** \struct TableSettings
 * \brief The table of weights and limits of client accounts.
 */
struct TableSettings {
    std::string file; /**< CSV as docs/table.md describes it; empty: all requests belong to one account. */
};

/** \struct EventLogSettings
 * \brief Bound of the log.
 */
struct EventLogSettings {
    uint32_t changesPerSecond { 100 }; /**< Lines for changes of upstreams and items. */
    uint32_t failuresPerSecond { 100 }; /**< Lines for failed requests. */
    uint32_t successesPerSecond { 5 }; /**< Lines for served requests. */
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
    EntryAnswerSettings entryAnswers;
    TableSettings table;
    EventLogSettings log;
};

/** Parses JSON with comments; errors state file, key, value and allowed range. */
std::optional<GatewaySettings> parseGatewaySettings(
    std::string_view text, std::string_view file, base::LastReason& reason);

/** Reads and parses \a file. */
std::optional<GatewaySettings> readGatewaySettings(const std::string& file, base::LastReason& reason);

/** Reads the table that the settings name; nullptr if they name none. */
std::optional<std::shared_ptr<const table::Table>> readTable(const TableSettings&, base::LastReason& reason);

/** Returns the effective settings as JSON that parseGatewaySettings() accepts. */
std::string toJson(const GatewaySettings&);

/** Returns which hosts callers are sent to, as the decisions take it. */
fleet::ServingSettings servingOf(const EntryAnswerSettings&);

/** Returns the budget in the units of the decisions. */
dispatch::RetryBudgetSettings budgetOf(const BudgetSettings&);

}
