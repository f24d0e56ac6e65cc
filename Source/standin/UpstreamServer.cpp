#include "standin/UpstreamServer.h"

#include "standin/UpstreamListener.h"
#include "standin/UpstreamService.h"

#include <algorithm>
#include <future>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace papayabend::standin {

namespace asio = boost::asio;

struct UpstreamServer::Impl {
    /** Runs \a function on the simulation thread and returns its result. */
    template <typename F> auto call(F function)
    {
        auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
        auto result = task->get_future();
        asio::post(io, [task] { (*task)(); });
        return result.get();
    }

    explicit Impl(const StandinSettings& settings)
        : deployment(makeDeployment(settings))
        , random(settings.seed)
    {
        grpc::ServerBuilder builder;
        builder.RegisterService(&service);
        server = builder.BuildAndStart();
        auto port = settings.firstUpstreamPort;
        for (auto& shape : deployment.upstreams) {
            auto executed = [this](const std::string& body) {
                std::scoped_lock lock(executionsMutex);
                ++executions[body];
            };
            auto listener = std::make_unique<UpstreamListener>(
                io, *server, service, shape, settings.upstreams, random(), executed);
            shape.address = listener->listen(settings.ip, static_cast<uint16_t>(port));
            if (port)
                ++port;
            listeners.push_back(std::move(listener));
        }
        setHoldings();
        thread = std::thread([this] { io.run(); });
    }

    ~Impl()
    {
        call([this] {
            for (auto& it : listeners)
                it->close();
        });
        server->Shutdown(std::chrono::system_clock::now());
        work.reset();
        io.stop();
        thread.join();
    }

    void setHoldings()
    {
        for (size_t n = 0; n < listeners.size(); ++n)
            listeners[n]->upstream().holdings = holdingsOf(deployment, n);
    }

    mutable std::mutex executionsMutex;
    std::map<std::string, uint64_t> executions;
    Deployment deployment;
    base::Random random;
    asio::io_context io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    UpstreamService service { io };
    std::unique_ptr<grpc::Server> server;
    std::vector<std::unique_ptr<UpstreamListener>> listeners;
    std::thread thread;
};

UpstreamServer::UpstreamServer(const StandinSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

UpstreamServer::~UpstreamServer() = default;

Deployment UpstreamServer::deployment() const
{
    return m_impl->call([this] { return m_impl->deployment; });
}

void UpstreamServer::addSnapshot(const std::string& service, size_t shards, base::Duration spread)
{
    m_impl->call([&] {
        standin::addSnapshot(m_impl->deployment, service, shards);
        for (size_t n = 0; n < m_impl->listeners.size(); ++n) {
            auto delay = base::Duration(
                static_cast<int64_t>(base::uniform(m_impl->random) * static_cast<double>(spread.count())));
            auto timer = std::make_shared<asio::steady_timer>(m_impl->io, delay);
            timer->async_wait([timer, n, impl = m_impl.get()](boost::system::error_code ec) {
                if (!ec)
                    impl->listeners[n]->upstream().holdings = holdingsOf(impl->deployment, n);
            });
        }
        return true;
    });
}

size_t UpstreamServer::change(const std::string& prefix, const std::string& json, base::LastReason& reason)
{
    return m_impl->call([&] {
        size_t changed = 0;
        for (auto& it : m_impl->listeners) {
            if (!it->name().starts_with(prefix))
                continue;
            if (!standin::change(it->upstream().behaviour, json, reason))
                return size_t { 0 };
            it->behaviourChanged();
            ++changed;
        }
        return changed;
    });
}

bool UpstreamServer::crash(const std::string& name)
{
    return m_impl->call([&] {
        auto it = std::ranges::find(m_impl->listeners, name, [](const auto& it) { return it->name(); });
        if (it == m_impl->listeners.end())
            return false;
        (*it)->crash();
        return true;
    });
}

std::map<std::string, uint64_t> UpstreamServer::executions() const
{
    std::scoped_lock lock(m_impl->executionsMutex);
    return m_impl->executions;
}

std::map<std::string, size_t> UpstreamServer::connections() const
{
    return m_impl->call([this] {
        std::map<std::string, size_t> all;
        for (const auto& it : m_impl->listeners)
            all[it->name()] = it->openConnections();
        return all;
    });
}

}
