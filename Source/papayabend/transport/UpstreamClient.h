#pragma once

#include "papayabend/catalog/Catalog.h"
#include "papayabend/routing/Attempt.h"
#include "papayabend/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace papayabend::transport {

/** \class UpstreamClient
 * \brief Calls upstreams over gRPC on connections that are opened in advance. Safe for use by several threads.
 */
class UpstreamClient {
public:
    /** Called once for each attempt, on a thread of the client or of gRPC, with the duration of the call. */
    using Done = std::function<void(const routing::AttemptResult&, base::Duration elapsed)>;

    /** \struct Connections
     * \brief Connections to one upstream.
     */
    struct Connections {
        size_t ready { 0 };
        size_t total { 0 };
    };

    UpstreamClient(const settings::UpstreamSettings&, Done done);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    /** Opens connections to every upstream of the catalogue and drops those to others once their calls ended. */
    void connect(const catalog::Catalog&);

    /**
     * Sends the attempt on an open connection. If none is open, the attempt waits up to the connect timeout
     * and then ends as NotSent.
     */
    void send(const routing::Attempt&);
    /** Ends the attempt as Cancelled, or as NotSent if it is still waiting for a connection. */
    void cancel(routing::AttemptId);

    /** Returns the connections by upstream address. */
    std::unordered_map<std::string, Connections> connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
