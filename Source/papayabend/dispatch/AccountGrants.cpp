#include "papayabend/dispatch/AccountGrants.h"

#include <algorithm>

namespace papayabend::dispatch {

namespace {

    // A host whose part of a limit is below one request per second still admits single requests.
    constexpr double minBurst = 1;

    std::string_view columnOf(const table::Table& table, std::string_view service)
    {
        return std::ranges::find(table.services, service) != table.services.end() ? service : defaultName;
    }

}

std::optional<AccountGrant> findAccountGrant(
    const table::Table* table, std::string_view virtualHost, std::string_view service)
{
    if (!table)
        return AccountGrant { std::string(defaultName), std::string(defaultName), {} };
    auto account = table::findRow(*table, virtualHost) ? virtualHost : defaultName;
    auto column = columnOf(*table, service);
    const auto* grant = table::findGrant(*table, account, column);
    if (!grant)
        return std::nullopt;
    return AccountGrant { std::string(account), std::string(column), *grant };
}

uint32_t rankOf(table::Priority priority, uint32_t routePriority)
{
    constexpr uint32_t bulkOffset = 1000;
    return priority == table::Priority::Bulk ? std::min(routePriority, bulkOffset) + bulkOffset : routePriority;
}

std::optional<base::Duration> AccountRates::take(const AccountGrant& grant, size_t hosts, base::TimePoint now)
{
    if (!grant.grant.limitPerSecond)
        return std::nullopt;
    auto perSecond = *grant.grant.limitPerSecond / static_cast<double>(std::max<size_t>(hosts, 1));
    auto burst = std::max(perSecond, minBurst);
    auto [it, isNew] = m_buckets.try_emplace({ grant.account, grant.service }, Bucket { burst, now });
    auto& bucket = it->second;
    bucket.tokens
        = std::min(burst, bucket.tokens + perSecond * std::chrono::duration<double>(now - bucket.refilledAt).count());
    bucket.refilledAt = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return std::nullopt;
    }
    auto wait = std::chrono::duration<double>((1 - bucket.tokens) / perSecond);
    return std::chrono::duration_cast<base::Duration>(wait);
}

}
