#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"

#include <deque>
#include <mutex>
#include <string>
#include <string_view>
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

    /** Repeats the notices that are due to be sent again. */
    Actions tick(base::TimePoint now);

private:
    struct RepeatedNotice {
        PendingNotice notice;
        base::TimePoint repeatAt;
        uint32_t repeats { 0 };
    };

    void send(const PendingNotice&, Actions&) const;

    SharedState& m_shared;
    std::mutex m_mutex;
    std::deque<RepeatedNotice> m_repeatedNotices; /**< In the order of repeatAt. */
};

}
