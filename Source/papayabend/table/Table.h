#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::table {

/** \enum Priority
 * \brief Priority of a client account's requests in the queue of a service.
 */
enum class Priority : uint8_t {
    Interactive,
    Bulk, /**< Served when no interactive request is waiting. */
};

/** Returns "interactive" or "bulk". */
std::string_view toString(Priority);

/** \struct Grant
 * \brief Weight, limit and priority of one client account for one service.
 */
struct Grant {
    double weight { 1 }; /**< Share of the service relative to the other accounts. */
    std::optional<double> limitPerSecond; /**< Requests per second over the whole fleet; none: unlimited. */
    Priority priority { Priority::Interactive };

    bool operator==(const Grant&) const = default;
};

/** \struct Row
 * \brief Grants of one client account, in the order of Table::services. An empty grant means no access.
 */
struct Row {
    std::string account;
    std::vector<std::optional<Grant>> grants;
};

/** \struct Objective
 * \brief Service-level objective of one service. A value of 0 sets no objective.
 */
struct Objective {
    std::string service;
    base::Duration latency {}; /**< Latency that the share latencyTarget of the answers must not exceed. */
    double latencyTarget { 0 }; /**< Share of answers that must meet the latency, 0 to 1. */
    double coverage { 0 }; /**< Share of answers that must be complete, 0 to 1. */
    double availability { 0 }; /**< Share of requests that must be neither refused nor failed, 0 to 1. */

    bool operator==(const Objective&) const = default;
};

/** \struct Table
 * \brief Weights, limits and objectives as the operators publish them. Immutable once parsed.
 */
struct Table {
    uint64_t version { 0 }; /**< 0: no table yet. */
    uint64_t contentHash { 0 }; /**< Hash of the published text. */
    std::vector<std::string> services; /**< Columns of the table, in published order. */
    std::vector<Row> rows; /**< Sorted by account. */
    std::vector<Objective> objectives; /**< One for each service that has any. */
};

/** Parses the published CSV; docs/table.md describes it. Rejects the whole table on the first error;
 * \a reason then names the line, account and service of the cell, its value and the allowed range.
 */
std::optional<Table> parseTable(std::string_view text, base::LastReason& reason);

/** Returns the row of \a account, or null. */
const Row* findRow(const Table&, std::string_view account);

/** Returns the grant of \a account for \a service, or null if the table grants no access. */
const Grant* findGrant(const Table&, std::string_view account, std::string_view service);

/** Returns the objective of \a service, or null. */
const Objective* findObjective(const Table&, std::string_view service);

}
