#pragma once

#include "papayabend/base/Refusal.h"
#include "papayabend/base/Time.h"
#include "papayabend/query/Search.h"
#include "papayabend/routing/Attempt.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace papayabend::transport {

/** \struct Gauges
 * \brief Values that are read when metrics are fetched instead of being updated on the request path.
 */
struct Gauges {
    uint64_t tableVersion { 0 };
    uint64_t catalogVersion { 0 };
    bool isServing { false };
    size_t callerConnections { 0 };
    size_t waitingRequests { 0 };
    size_t readyUpstreamConnections { 0 };
    size_t upstreamConnections { 0 };
};

/** \class Metrics
 * \brief Counters of the process. Safe for use by several threads; each update is a few atomic additions.
 */
class Metrics {
public:
    enum class Request { Search, Ticket, Execution, Outcome, EntryHosts };
    enum class Direction { Sent, Received };

    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void requestReceived(Request);
    void refused(base::RefusalCode, base::Verdict);
    /** Counts a refusal by the wire names of reason and verdict; unknown names are ignored. */
    void refused(std::string_view reason, std::string_view verdict);
    void answered(const query::SearchAnswer&, base::Duration elapsed);
    void attemptFinished(routing::AttemptStatus, base::Duration elapsed);
    void controlBytes(Direction, size_t bytes);

    /** Returns all metrics in the Prometheus text format. */
    std::string text(const Gauges&) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
