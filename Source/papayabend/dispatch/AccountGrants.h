#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/table/Table.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace papayabend::dispatch {

/** Name of the table row for accounts without a row of their own, and of the column for services without one. */
constexpr std::string_view defaultName = "default";

/** \struct AccountGrant
 * \brief What the account of a request may use of a service.
 */
struct AccountGrant {
    std::string account;
    std::string service; /**< Column of the table that applies: the service's own or the default one. */
    table::Grant grant;
};

/** Returns the grant for \a service of the account whose name is \a virtualHost; nothing if it has no access.
 *
 * Without a table (nullptr) all requests belong to one account with the default grant.
 */
std::optional<AccountGrant> findAccountGrant(
    const table::Table* table, std::string_view virtualHost, std::string_view service);

/** Returns the priority of a request inside its account, 0 being the most urgent: every bulk request ranks behind all
 * interactive ones. */
uint32_t rankOf(table::Priority, uint32_t routePriority);

/** \class AccountRates
 * \brief Enforces this host's part of the request rates that the table allows each account over the fleet.
 *
 * Token buckets. Each host allows an equal part of the rate, with bursts of one second's requests. Not safe for use by
 * several threads.
 */
class AccountRates {
public:
    /** Admits one request and returns nothing, or returns the time until a request is admitted again.
     *
     * \a hosts: the number of hosts that share the rate.
     */
    std::optional<base::Duration> take(const AccountGrant&, size_t hosts, base::TimePoint now);

private:
    struct Bucket {
        double tokens { 0 };
        base::TimePoint refilledAt {};
    };
    std::map<std::pair<std::string, std::string>, Bucket> m_buckets; /**< By account and service. */
};

}
