#include "papayabend/gateway/ClientGuard.h"

#include <utility>

namespace papayabend::gateway {

void RefusalCounters::record(RefusalReason reason, std::string client)
{
    auto& entry = m_entries.at(static_cast<size_t>(reason));
    ++entry.count;
    entry.client = std::move(client);
}

std::vector<RefusalReport> RefusalCounters::takeReports(base::TimePoint now)
{
    std::vector<RefusalReport> reports;
    for (size_t n = 0; n < refusalReasons; ++n) {
        auto& entry = m_entries.at(n);
        auto isFirst = entry.reportedCount == 0;
        if (entry.count == entry.reportedCount || (!isFirst && now - entry.reportedAt < reportInterval))
            continue;
        reports.push_back({ static_cast<RefusalReason>(n), entry.count - entry.reportedCount, entry.client });
        entry.reportedCount = entry.count;
        entry.reportedAt = now;
    }
    return reports;
}

}
