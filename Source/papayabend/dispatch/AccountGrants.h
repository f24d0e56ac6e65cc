#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/table/Table.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace papayabend::dispatch {

/** Row and column of the table that hold for accounts and services without one of their own. */
constexpr std::string_view defaultName = "default";

/** \struct AccountGrant
 * \brief What the account of a request may use of a service.
 */
struct AccountGrant {
    std::string account;
    std::string service; /**< Column that holds. */
    table::Grant grant;
};

/** Returns the grant of the account that is named like \a virtualHost for \a service; nothing if it has no access.
 *
 * Without a table (nullptr) all requests belong to one account with the default grant.
 */
std::optional<AccountGrant> findAccountGrant(
    const table::Table* table, std::string_view virtualHost, std::string_view service);

/** Returns the rank of a request inside its account: bulk requests follow all interactive ones. */
uint32_t rankOf(table::Priority, uint32_t routePriority);

/** \class AccountRates
 * \brief Holds accounts to the requests per second that the table allows them over the fleet.
 *
 * Each host allows an even part, with bursts of a second. Not safe for use by several threads.
 */
class AccountRates {
public:
    /** Takes one request; returns the wait until the next one is allowed if this one is not. */
    std::optional<base::Duration> take(const AccountGrant&, size_t hosts, base::TimePoint now);

private:
    struct Bucket {
        double tokens { 0 };
        base::TimePoint filledAt {};
    };
    std::map<std::pair<std::string, std::string>, Bucket> m_buckets; /**< By account and service. */
};

}
