#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::engine {

/** \class QuarantineExchange
 * \brief Exchanges notices of requests that crash upstreams among the hosts that serve the same service. Thread-safe.
 */
class QuarantineExchange {
public:
    explicit QuarantineExchange(SharedState&);

    /** Sends the notices queued by the request paths to all other hosts that serve the service. */
    Actions sendPending(base::TimePoint now);

    /** Applies the notices of another host to the local quarantine. */
    void applyReceived(const std::vector<routing::QuarantineNotice>&, base::TimePoint now);

    /** Repeats the notices that are due to be sent again, and sends all that are valid to hosts that have started or
     * come back since the last call. */
    Actions tick(base::TimePoint now);

private:
    struct RepeatedNotice {
        PendingNotice notice;
        base::TimePoint repeatAt;
        uint32_t repeats { 0 };
    };

    /** Newest notice on a request, of this host or another one. */
    struct HeldNotice {
        PendingNotice notice; /**< The service is empty if another host has sent it. */
        base::TimePoint expiresAt;
    };

    void send(const PendingNotice&, Actions&) const;
    void hold(const PendingNotice&, base::TimePoint now);
    /** Returns the hosts that were not reachable, or had another process, at the last call. */
    std::vector<membership::HostObservation> takeNewHosts();
    void tellNewHosts(Actions&, base::TimePoint now);

    SharedState& m_shared;
    std::mutex m_mutex;
    std::deque<RepeatedNotice> m_repeatedNotices; /**< In the order of repeatAt. */
    std::unordered_map<uint64_t, HeldNotice> m_heldNotices; /**< By fingerprint. */
    std::map<std::string, uint64_t> m_reachableHosts; /**< Incarnation by name, at the last tick. */
};

}
