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
 * \brief Passes notices of requests that crash upstreams between the hosts that serve the same service. Thread-safe.
 */
class QuarantineExchange {
public:
    explicit QuarantineExchange(SharedState&);

    /** Sends the notices that the request paths queued to every other host of the serving set. */
    Actions announce(base::TimePoint now);

    /** Takes the notices of another host. */
    void received(const std::vector<routing::QuarantineNotice>&, base::TimePoint now);

    /** Sends recent notices again. */
    Actions tick(base::TimePoint now);

private:
    struct Sent {
        PendingNotice pending;
        base::TimePoint repeatAt;
        uint32_t repeats { 0 };
    };

    void send(const PendingNotice&, Actions&) const;

    SharedState& m_shared;
    std::mutex m_mutex;
    std::deque<Sent> m_sent; /**< In the order of repeatAt. */
};

}
