#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/ClientConnections.h"
#include "papayabend/gateway/RequestReader.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::gateway {

/** \struct RefusalReport
 * \brief What is logged of refusals for one reason.
 */
struct RefusalReport {
    RefusalReason reason {};
    uint64_t count { 0 }; /**< Since the report before. */
    std::string client; /**< Address of the last one. */
};

/** \class RefusalCounters
 * \brief Counts refused and closed clients by reason.
 */
class RefusalCounters {
public:
    /** Between two reports of a reason. */
    static constexpr base::Duration reportInterval { std::chrono::seconds(5) };

    void record(RefusalReason, std::string client);
    /** Number of refusals since the start of the process. */
    uint64_t count(RefusalReason reason) const { return m_entries.at(static_cast<size_t>(reason)).count; }
    /** Returns what has happened since the last report of each reason, for reasons whose interval has passed. */
    std::vector<RefusalReport> takeReports(base::TimePoint now);

private:
    struct Entry {
        uint64_t count { 0 };
        uint64_t reportedCount { 0 };
        base::TimePoint reportedAt {};
        std::string client;
    };

    std::array<Entry, refusalReasons> m_entries;
};

/** \struct ClientGuard
 * \brief Bounds on clients that the listeners of a host share. Used only on one thread.
 */
struct ClientGuard {
    uint32_t headerFields { RequestLimits().headerFields };
    uint32_t chunkFramingBytes { RequestLimits().chunkFramingBytes };
    std::shared_ptr<ClientConnections> connections { std::make_shared<ClientConnections>() };
    RefusalCounters refusals;
};

}
