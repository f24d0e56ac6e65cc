#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/Attempt.h"
#include "papayabend/routing/UpstreamTable.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace papayabend::query {

/**
 * Returns how many searches of a service may run on this host at once: RoutingSettings::searchesPerCall times the
 * in-flight limit of the shard where it is lowest. Further searches would only wait for slots of that shard, and the
 * answers they already have from other shards would be wasted if they reached their deadlines.
 */
uint32_t searchLimit(routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&);

/** \class SearchLimiter
 * \brief Limits the running searches of each service and queues the others. Thread-safe.
 *
 * Waiting searches start in the order of their arrival. While more of them wait than may run, the newest starts first:
 * the oldest would use the slots for answers that come after their deadlines, and no search would be answered in time.
 */
class SearchLimiter {
public:
    /** Returns whether a search may start: fewer than \a limit are running and none waits. Queues it otherwise. */
    bool tryAcquireOrQueue(const std::string& service, routing::RequestId, uint32_t limit);

    /** Records the end of a running search. */
    void release(const std::string& service);

    /**
     * Removes the next search from the queue and counts it as running, if fewer than \a limit are. It may have ended
     * while it waited; the caller has to check that.
     */
    std::optional<routing::RequestId> next(const std::string& service, uint32_t limit);

private:
    struct ServiceQueue {
        uint32_t running { 0 };
        std::deque<routing::RequestId> waiting;
    };
    std::mutex m_mutex;
    std::unordered_map<std::string, ServiceQueue> m_services;
};

}
