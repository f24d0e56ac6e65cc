#pragma once

#include "papayabend/base/Published.h"
#include "papayabend/settings/Settings.h"
#include "upstream.grpc.pb.h"

#include <atomic>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace papayabend::transport {

/** \struct UpstreamConnection
 * \brief One gRPC channel that holds one TCP connection.
 */
struct UpstreamConnection {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<protocol::Upstream::Stub> stub;
    std::atomic<bool> isDropped { false };
    std::atomic<uint32_t> losses { 0 }; /**< How often the TCP connection ended. */
};

/** \struct UpstreamEndpoint
 * \brief Connections to one upstream.
 */
struct UpstreamEndpoint {
    std::string address;
    std::vector<std::shared_ptr<UpstreamConnection>> connections;
    std::atomic<size_t> next { 0 };

    /** Returns the next open connection in round-robin order, or null if none is open. */
    std::shared_ptr<UpstreamConnection> ready();
    /** Returns whether every connection has failed and waits to be opened again. */
    bool hasFailed() const;
};

/** \class UpstreamConnections
 * \brief Opens connections to upstreams and keeps them open.
 */
class UpstreamConnections {
public:
    using Endpoints = std::unordered_map<std::string, std::shared_ptr<UpstreamEndpoint>>;

    /** \a changed is called on the watcher thread after any connection state changed, and at least every 20 ms. */
    UpstreamConnections(const settings::UpstreamSettings&, std::function<void()> changed);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections&) = delete;
    UpstreamConnections& operator=(const UpstreamConnections&) = delete;

    /** Opens connections to all \a addresses and drops those to others. */
    void keepOnly(const std::unordered_set<std::string>& addresses);
    /** Returns the endpoint and opens its connections if it is new. */
    std::shared_ptr<UpstreamEndpoint> endpoint(const std::string& address);
    std::shared_ptr<const Endpoints> endpoints() const { return m_endpoints.load(); }

private:
    std::shared_ptr<UpstreamEndpoint> open(const std::string& address);
    void watch(const std::shared_ptr<UpstreamConnection>&);
    void run();

    settings::UpstreamSettings m_settings;
    std::function<void()> m_changed;
    std::mutex m_mutex;
    base::Published<Endpoints> m_endpoints;
    std::mutex m_queueMutex;
    bool m_isStopping { false };
    grpc::CompletionQueue m_queue;
    std::thread m_thread;
};

}
