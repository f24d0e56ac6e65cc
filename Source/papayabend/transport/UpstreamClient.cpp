#include "papayabend/transport/UpstreamClient.h"

#include "papayabend/transport/CallbackQueue.h"
#include "papayabend/transport/UpstreamConnections.h"

#include <algorithm>
#include <tbb/concurrent_hash_map.h>

namespace papayabend::transport {

namespace {

    // gRPC ends a call as UNAVAILABLE both when the connection ended and when the upstream sent this status. The
    // channel state distinguishes them; its change is reported up to a few milliseconds after the call.
    constexpr std::chrono::milliseconds lossReportTime { 50 };

    using routing::AttemptResult;
    using routing::AttemptStatus;

    AttemptStatus statusOf(protocol::CallStatus status)
    {
        switch (status) {
        case protocol::CALL_STATUS_RAN:
            return AttemptStatus::Ran;
        case protocol::CALL_STATUS_SHED:
            return AttemptStatus::Shed;
        case protocol::CALL_STATUS_DRAINING:
            return AttemptStatus::Draining;
        case protocol::CALL_STATUS_SNAPSHOT_UNAVAILABLE:
            return AttemptStatus::SnapshotUnavailable;
        case protocol::CALL_STATUS_UNKNOWN_SHARD:
            return AttemptStatus::UnknownShard;
        default:
            return AttemptStatus::Failed;
        }
    }

    routing::LoadReport loadOf(const protocol::Load& load)
    {
        return { load.slots_busy(), load.queued(), load.draining(),
            base::Duration(static_cast<int64_t>(load.service_time_us())) };
    }

    enum class Phase { Waiting, Sent, Ended };

    struct Call {
        routing::Attempt attempt;
        std::atomic<Phase> phase { Phase::Waiting };
        std::atomic<bool> isCancelled { false };
        base::TimePoint started {};
        base::TimePoint waitsUntil {};
        std::shared_ptr<UpstreamConnection> connection; // Keeps the channel alive while the call runs.
        uint32_t lossesBefore { 0 };
        grpc::ClientContext context;
        AttemptResult result;
        protocol::SearchCall searchCall;
        protocol::SearchReply searchReply;
        protocol::ExecuteCall executeCall;
        protocol::ExecuteReply executeReply;
        protocol::ProbeCall probeCall;
        protocol::ProbeReply probeReply;
    };

    AttemptStatus statusOf(const Call& call, const grpc::Status& status)
    {
        switch (status.error_code()) {
        case grpc::StatusCode::DEADLINE_EXCEEDED:
            return AttemptStatus::TimedOut;
        case grpc::StatusCode::CANCELLED:
            return call.isCancelled ? AttemptStatus::Cancelled : AttemptStatus::Failed;
        default:
            return AttemptStatus::Failed;
        }
    }

    void takeSearchReply(Call& call)
    {
        const auto& reply = call.searchReply;
        auto& result = call.result;
        result.status = statusOf(reply.status());
        result.load = loadOf(reply.load());
        result.shard = reply.shard();
        result.snapshot = reply.snapshot();
        result.unitsSearched = reply.units_searched();
        std::ranges::transform(reply.hits(), std::back_inserter(result.hits), [](const protocol::Hit& hit) {
            return routing::Hit { hit.document(), hit.score() };
        });
    }

    void takeProbeReply(Call& call)
    {
        call.result.status = AttemptStatus::Ran;
        call.result.load = loadOf(call.probeReply.load());
    }

    void takeExecuteReply(Call& call)
    {
        const auto& reply = call.executeReply;
        call.result.status = statusOf(reply.status());
        call.result.load = loadOf(reply.load());
        call.result.body = reply.body();
    }

}

struct UpstreamClient::Impl : std::enable_shared_from_this<UpstreamClient::Impl> {
    Impl(const settings::UpstreamSettings& upstreams, Done handler)
        : settings(upstreams)
        , done(std::move(handler))
    {
    }

    void end(Call& call, AttemptStatus status)
    {
        calls.erase(call.attempt.id);
        call.result.status = status;
        ++runningHandlers;
        if (!isClosed)
            done(call.result, base::BootClock::now() - call.started);
        --runningHandlers;
    }

    /** Ends a call of which no byte was sent; returns false if it was already sent or ended. */
    bool endUnsent(Call& call)
    {
        auto expected = Phase::Waiting;
        if (!call.phase.compare_exchange_strong(expected, Phase::Ended))
            return false;
        end(call, AttemptStatus::NotSent);
        return true;
    }

    void finish(const std::shared_ptr<Call>& call, const grpc::Status& status, void (*takeReply)(Call&))
    {
        call->phase = Phase::Ended;
        if (status.ok()) {
            takeReply(*call);
            end(*call, call->result.status);
        } else if (status.error_code() != grpc::StatusCode::UNAVAILABLE) {
            end(*call, statusOf(*call, status));
        } else if (hasLostConnection(*call)) {
            end(*call, AttemptStatus::ConnectionLost);
        } else {
            call->waitsUntil = base::BootClock::now() + lossReportTime;
            std::scoped_lock lock(waitingMutex);
            unavailable.push_back(call);
        }
    }

    static bool hasLostConnection(const Call& call) { return call.connection->losses != call.lossesBefore; }

    void start(const std::shared_ptr<Call>& call, std::shared_ptr<UpstreamConnection> connection);
    void retryWaiting();
    void endUnavailable();

    settings::UpstreamSettings settings;
    Done done;
    tbb::concurrent_hash_map<routing::AttemptId, std::shared_ptr<Call>> calls;
    std::atomic<bool> isClosed { false };
    std::atomic<size_t> runningHandlers { 0 };
    std::mutex waitingMutex;
    std::vector<std::shared_ptr<Call>> waiting; // Waiting for a connection.
    std::vector<std::shared_ptr<Call>> unavailable; // Ended; the cause is not known yet.
    std::unique_ptr<UpstreamConnections> connections;
};

void UpstreamClient::Impl::start(const std::shared_ptr<Call>& call, std::shared_ptr<UpstreamConnection> connection)
{
    auto expected = Phase::Waiting;
    if (!call->phase.compare_exchange_strong(expected, Phase::Sent))
        return;
    const auto& attempt = call->attempt;
    auto timeLeft = attempt.deadline - base::BootClock::now();
    call->context.set_deadline(std::chrono::system_clock::now() + timeLeft);
    call->connection = std::move(connection);
    call->lossesBefore = call->connection->losses;
    auto* stub = call->connection->stub.get();
    auto impl = shared_from_this();
    if (attempt.isProbe) {
        stub->async()->Probe(&call->context, &call->probeCall, &call->probeReply,
            [impl, call](const grpc::Status& status) { impl->finish(call, status, takeProbeReply); });
        return;
    }
    if (attempt.isExecution) {
        call->executeCall.set_service(attempt.service);
        call->executeCall.set_body(attempt.body);
        stub->async()->Execute(&call->context, &call->executeCall, &call->executeReply,
            [impl, call](const grpc::Status& status) { impl->finish(call, status, takeExecuteReply); });
        return;
    }
    call->searchCall.set_service(attempt.service);
    call->searchCall.set_shard(attempt.shard);
    call->searchCall.set_snapshot(attempt.snapshot);
    call->searchCall.set_query(attempt.body);
    call->searchCall.set_max_hits(attempt.maxHits);
    stub->async()->Search(&call->context, &call->searchCall, &call->searchReply,
        [impl, call](const grpc::Status& status) { impl->finish(call, status, takeSearchReply); });
}

void UpstreamClient::Impl::retryWaiting()
{
    std::vector<std::shared_ptr<Call>> all;
    {
        std::scoped_lock lock(waitingMutex);
        all.swap(waiting);
    }
    auto now = base::BootClock::now();
    std::vector<std::shared_ptr<Call>> remaining;
    for (auto& call : all) {
        auto endpoint = connections->endpoint(call->attempt.address);
        if (auto connection = endpoint->ready(); connection && now < call->attempt.deadline)
            start(call, std::move(connection));
        else if (now >= call->waitsUntil || endpoint->hasFailed())
            endUnsent(*call);
        else if (call->phase == Phase::Waiting)
            remaining.push_back(std::move(call));
    }
    std::scoped_lock lock(waitingMutex);
    waiting.insert(waiting.end(), remaining.begin(), remaining.end());
}

void UpstreamClient::Impl::endUnavailable()
{
    std::vector<std::shared_ptr<Call>> all;
    {
        std::scoped_lock lock(waitingMutex);
        all.swap(unavailable);
    }
    auto now = base::BootClock::now();
    std::erase_if(all, [&](const std::shared_ptr<Call>& call) {
        auto isLost = hasLostConnection(*call);
        if (!isLost && now < call->waitsUntil)
            return false;
        end(*call, isLost ? AttemptStatus::ConnectionLost : AttemptStatus::Failed);
        return true;
    });
    std::scoped_lock lock(waitingMutex);
    unavailable.insert(unavailable.end(), all.begin(), all.end());
}

UpstreamClient::UpstreamClient(const settings::UpstreamSettings& settings, Done done)
    : m_impl(std::make_shared<Impl>(settings, std::move(done)))
{
    keepCallbackQueue();
    m_impl->connections = std::make_unique<UpstreamConnections>(settings, [impl = m_impl.get()] {
        impl->retryWaiting();
        impl->endUnavailable();
    });
}

UpstreamClient::~UpstreamClient()
{
    m_impl->connections.reset();
    // Running calls keep m_impl alive; their handler must not run after its owner is destroyed.
    m_impl->isClosed = true;
    while (m_impl->runningHandlers > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void UpstreamClient::connect(const catalog::Catalog& catalog)
{
    std::unordered_set<std::string> addresses;
    std::ranges::transform(catalog.upstreams, std::inserter(addresses, addresses.end()), &catalog::Upstream::address);
    m_impl->connections->keepOnly(addresses);
}

void UpstreamClient::send(const routing::Attempt& attempt)
{
    auto call = std::make_shared<Call>();
    call->attempt = attempt;
    call->started = base::BootClock::now();
    call->result.attempt = attempt.id;
    call->result.request = attempt.request;
    call->result.upstream = attempt.upstream;
    m_impl->calls.insert({ attempt.id, call });
    if (attempt.deadline <= call->started) {
        m_impl->endUnsent(*call);
        return;
    }
    auto endpoint = m_impl->connections->endpoint(attempt.address);
    if (auto connection = endpoint->ready()) {
        m_impl->start(call, std::move(connection));
        return;
    }
    if (endpoint->hasFailed()) {
        m_impl->endUnsent(*call);
        return;
    }
    call->waitsUntil = std::min(attempt.deadline, call->started + m_impl->settings.connectTimeout);
    std::scoped_lock lock(m_impl->waitingMutex);
    m_impl->waiting.push_back(std::move(call));
}

void UpstreamClient::cancel(routing::AttemptId id)
{
    decltype(m_impl->calls)::const_accessor accessor;
    if (!m_impl->calls.find(accessor, id))
        return;
    auto call = accessor->second;
    accessor.release();
    if (m_impl->endUnsent(*call))
        return;
    call->isCancelled = true;
    call->context.TryCancel();
}

std::unordered_map<std::string, UpstreamClient::Connections> UpstreamClient::connections() const
{
    std::unordered_map<std::string, Connections> all;
    auto endpoints = m_impl->connections->endpoints();
    for (const auto& [address, endpoint] : *endpoints) {
        auto isReady = [](const auto& it) { return it->channel->GetState(false) == GRPC_CHANNEL_READY; };
        all[address] = { static_cast<size_t>(std::ranges::count_if(endpoint->connections, isReady)),
            endpoint->connections.size() };
    }
    return all;
}

}
