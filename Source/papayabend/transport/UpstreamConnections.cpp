#include "papayabend/transport/UpstreamConnections.h"

#include <algorithm>
#include <chrono>

namespace papayabend::transport {

namespace {

    // A pending watch keeps its channel alive, so this also bounds the duration of the destructor.
    constexpr std::chrono::milliseconds watchTime { 500 };
    constexpr std::chrono::milliseconds pollInterval { 20 };

    std::shared_ptr<UpstreamConnection> makeConnection(
        const std::string& address, const settings::UpstreamSettings& settings)
    {
        auto milliseconds = [](base::Duration time) { return static_cast<int>(time.count() / 1000); };
        grpc::ChannelArguments arguments;
        // A transparent retry by gRPC could run a non-idempotent request twice.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        // Channels with equal arguments would otherwise share one TCP connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, milliseconds(settings.minReconnectDelay));
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, milliseconds(settings.maxReconnectDelay));
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, milliseconds(settings.connectTimeout));
        auto connection = std::make_shared<UpstreamConnection>();
        connection->channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        connection->stub = protocol::Upstream::NewStub(connection->channel);
        return connection;
    }

    struct Watch {
        std::shared_ptr<UpstreamConnection> connection;
        grpc_connectivity_state state { GRPC_CHANNEL_IDLE };
    };

}

std::shared_ptr<UpstreamConnection> UpstreamEndpoint::ready()
{
    auto first = next.fetch_add(1, std::memory_order_relaxed);
    for (size_t n = 0; n < connections.size(); ++n) {
        const auto& it = connections[(first + n) % connections.size()];
        if (it->channel->GetState(false) == GRPC_CHANNEL_READY)
            return it;
    }
    return nullptr;
}

bool UpstreamEndpoint::hasFailed() const
{
    return std::ranges::all_of(
        connections, [](const auto& it) { return it->channel->GetState(false) == GRPC_CHANNEL_TRANSIENT_FAILURE; });
}

UpstreamConnections::UpstreamConnections(const settings::UpstreamSettings& settings, std::function<void()> changed)
    : m_settings(settings)
    , m_changed(std::move(changed))
    , m_thread([this] { run(); })
{
}

UpstreamConnections::~UpstreamConnections()
{
    {
        std::scoped_lock lock(m_queueMutex);
        m_isStopping = true;
        m_queue.Shutdown();
    }
    m_thread.join();
}

std::shared_ptr<UpstreamEndpoint> UpstreamConnections::open(const std::string& address)
{
    auto endpoint = std::make_shared<UpstreamEndpoint>();
    endpoint->address = address;
    for (uint32_t n = 0; n < m_settings.connectionsPerUpstream; ++n) {
        endpoint->connections.push_back(makeConnection(address, m_settings));
        watch(endpoint->connections.back());
    }
    return endpoint;
}

void UpstreamConnections::keepOnly(const std::unordered_set<std::string>& addresses)
{
    std::scoped_lock lock(m_mutex);
    auto present = m_endpoints.load();
    auto wanted = std::make_shared<Endpoints>();
    for (const auto& address : addresses) {
        auto it = present->find(address);
        wanted->emplace(address, it == present->end() ? open(address) : it->second);
    }
    for (const auto& [address, endpoint] : *present) {
        if (wanted->contains(address))
            continue;
        for (const auto& it : endpoint->connections)
            it->isDropped = true;
    }
    m_endpoints.publish(std::move(wanted));
}

std::shared_ptr<UpstreamEndpoint> UpstreamConnections::endpoint(const std::string& address)
{
    auto find = [&]() -> std::shared_ptr<UpstreamEndpoint> {
        auto present = m_endpoints.load();
        auto it = present->find(address);
        return it == present->end() ? nullptr : it->second;
    };
    if (auto found = find())
        return found;
    std::scoped_lock lock(m_mutex);
    if (auto found = find())
        return found;
    auto all = std::make_shared<Endpoints>(*m_endpoints.load());
    auto endpoint = open(address);
    all->emplace(address, endpoint);
    m_endpoints.publish(std::move(all));
    return endpoint;
}

void UpstreamConnections::watch(const std::shared_ptr<UpstreamConnection>& connection)
{
    std::scoped_lock lock(m_queueMutex);
    if (m_isStopping || connection->isDropped)
        return;
    // GetState(true) starts connecting if the channel is idle.
    auto state = connection->channel->GetState(true);
    connection->channel->NotifyOnStateChange(
        state, std::chrono::system_clock::now() + watchTime, &m_queue, new Watch { connection, state });
}

void UpstreamConnections::run()
{
    while (true) {
        void* tag = nullptr;
        bool ok = false;
        auto status = m_queue.AsyncNext(&tag, &ok, std::chrono::system_clock::now() + pollInterval);
        if (status == grpc::CompletionQueue::SHUTDOWN)
            return;
        if (status == grpc::CompletionQueue::GOT_EVENT) {
            std::unique_ptr<Watch> event(static_cast<Watch*>(tag));
            if (ok && event->state == GRPC_CHANNEL_READY)
                ++event->connection->losses;
            watch(event->connection);
        }
        m_changed();
    }
}

}
