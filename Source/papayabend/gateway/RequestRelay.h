#pragma once

#include "papayabend/gateway/GatewayState.h"
#include "papayabend/gateway/HttpListener.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \class RequestRelay
 * \brief Passes the requests of callers on to other hosts while this host has lost its links to the upstreams.
 *
 * Another host handles a relayed request like one of its own callers, but never relays it again. It receives the
 * request unchanged, with the time that is left, at its peer address. Its answer is returned as it is: a refusal of it
 * is as true as one of this host. Used only on the thread of the I/O context.
 */
class RequestRelay {
public:
    /** Header field with the name of the host that relays a request; not forwarded to upstreams. */
    static constexpr std::string_view relayField = "Papayabend-Relayed-By";

    /** Bytes by which the header of a relayed request may be longer than that of the caller. */
    static constexpr uint32_t maxAddedBytes = 512;

    /** \a buffers: shared with connections of other kinds. */
    RequestRelay(GatewayState&, std::shared_ptr<BufferBudget> buffers);

    /** Relays the request; returns false if no other host is known to reach the upstreams. */
    bool relay(const std::shared_ptr<ClientRequest>&);

    /** Answers the open requests, which may have run, at the end of the process. */
    void endAll();

    /** Requests relayed since the start of the process. */
    uint64_t relayed() const { return m_relayed; }

private:
    class Call;

    /** Returns an idle connection to the host at \a address, or nullptr. */
    std::shared_ptr<HttpConnection> takeIdle(const std::string& address);
    void keep(const std::string& address, const std::shared_ptr<HttpConnection>&);

    GatewayState& m_state;
    std::shared_ptr<BufferBudget> m_buffers;
    std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> m_idle; /**< By peer address. */
    std::set<std::shared_ptr<Call>> m_open;
    uint64_t m_relayed { 0 };
};

}
