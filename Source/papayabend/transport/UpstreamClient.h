#pragma once

#include "papayabend/routing/Attempt.h"

#include <functional>
#include <memory>

namespace papayabend::transport {

/** \class UpstreamClient
 * \brief Calls upstreams over gRPC. Safe for use by several threads.
 */
class UpstreamClient {
public:
    using Done = std::function<void(const routing::AttemptResult&)>;

    /** \a done is called once for each attempt, on a thread of the library. */
    explicit UpstreamClient(Done done);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    void send(const routing::Attempt&);
    void cancel(routing::AttemptId);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
