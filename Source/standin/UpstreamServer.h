#pragma once

#include "standin/Deployment.h"
#include "standin/StandinSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::standin {

/** \class UpstreamServer
 * \brief All upstreams of a deployment behind one gRPC server and one simulation thread.
 *
 * Each upstream has its own listening socket, so that its connection limit, connection set-up time and crashes
 * are those of a separate process. Accepted sockets are handed to the one gRPC server.
 */
class UpstreamServer {
public:
    explicit UpstreamServer(const StandinSettings&);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    /** Returns the deployment with the addresses that were bound. */
    Deployment deployment() const;
    /** Adds a snapshot; each upstream holds it after a random part of \a spread. */
    void addSnapshot(const std::string& service, size_t shards, base::Duration spread);
    /** Applies JSON keys of Behaviour to the upstreams whose name starts with \a prefix; returns their number. */
    size_t change(const std::string& prefix, const std::string& json, base::LastReason& reason);
    /** Ends the upstream \a name as a crash does. */
    bool crash(const std::string& name);

    /** Returns how often each non-idempotent body was executed, over all upstreams. */
    std::map<std::string, uint64_t> executions() const;
    /** Returns the open connections by upstream name. */
    std::map<std::string, size_t> connections() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
