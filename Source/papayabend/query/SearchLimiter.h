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
 * Returns how many searches of a service may run on this host at once: a multiple of the calls that its scarcest
 * shard may have in flight. More running searches would only wait for slots, each holding answers of other shards
 * that are lost when the deadline passes.
 */
uint32_t searchLimit(routing::UpstreamTable&, const catalog::Catalog&, const catalog::Service&);

/** \class SearchLimiter
 * \brief Counts running searches by service and keeps those that wait. Thread-safe.
 *
 * Waiting searches run in the order of their arrival. When more wait than may run, the newest runs first: the oldest
 * ones would use slots for answers that come after their deadlines, so that none would be in time.
 */
class SearchLimiter {
public:
    /** Lets the search run if fewer than \a limit do, and queues it otherwise. Returns whether it may run. */
    bool tryAcquireOrQueue(const std::string& service, routing::RequestId, uint32_t limit);

    /** Records the end of a running search. */
    void release(const std::string& service);

    /** Lets the next waiting search run if fewer than \a limit do. The caller skips searches that have ended. */
    std::optional<routing::RequestId> next(const std::string& service, uint32_t limit);

private:
    struct Entry {
        uint32_t running { 0 };
        std::deque<routing::RequestId> waiting;
    };
    std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_services;
};

}
