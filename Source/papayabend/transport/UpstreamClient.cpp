#include "papayabend/transport/UpstreamClient.h"

#include "upstream.grpc.pb.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <tbb/concurrent_hash_map.h>
#include <unordered_map>

namespace papayabend::transport {

namespace {

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

    // UNAVAILABLE after the call was handed to gRPC does not tell whether bytes left, so it may have run.
    AttemptStatus statusOf(const grpc::Status& status)
    {
        switch (status.error_code()) {
        case grpc::StatusCode::DEADLINE_EXCEEDED:
            return AttemptStatus::TimedOut;
        case grpc::StatusCode::CANCELLED:
            return AttemptStatus::Cancelled;
        case grpc::StatusCode::UNAVAILABLE:
            return AttemptStatus::ConnectionLost;
        default:
            return AttemptStatus::Failed;
        }
    }

    routing::LoadReport loadOf(const protocol::Load& load)
    {
        return { load.slots_busy(), load.queued(), load.draining(),
            base::Duration(static_cast<int64_t>(load.service_time_us())) };
    }

    struct Call {
        grpc::ClientContext context;
        AttemptResult result;
        protocol::SearchCall searchCall;
        protocol::SearchReply searchReply;
        protocol::ExecuteCall executeCall;
        protocol::ExecuteReply executeReply;
    };

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

    void takeExecuteReply(Call& call)
    {
        const auto& reply = call.executeReply;
        call.result.status = statusOf(reply.status());
        call.result.load = loadOf(reply.load());
        call.result.body = reply.body();
    }

    std::unique_ptr<protocol::Upstream::Stub> connect(const std::string& address)
    {
        grpc::ChannelArguments arguments;
        // A transparent retry by the library could run a non-idempotent request twice.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        return protocol::Upstream::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    }

}

struct UpstreamClient::Impl {
    Done done;
    std::mutex stubsMutex;
    std::unordered_map<std::string, std::unique_ptr<protocol::Upstream::Stub>> stubs;
    tbb::concurrent_hash_map<routing::AttemptId, std::shared_ptr<Call>> calls;

    protocol::Upstream::Stub& stub(const std::string& address)
    {
        std::scoped_lock lock(stubsMutex);
        auto& stub = stubs[address];
        if (!stub)
            stub = connect(address);
        return *stub;
    }

    void finish(const std::shared_ptr<Call>& call, const grpc::Status& status, void (*takeReply)(Call&))
    {
        calls.erase(call->result.attempt);
        if (status.ok())
            takeReply(*call);
        else
            call->result.status = statusOf(status);
        done(call->result);
    }
};

UpstreamClient::UpstreamClient(Done done)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->done = std::move(done);
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::send(const routing::Attempt& attempt)
{
    auto call = std::make_shared<Call>();
    call->result.attempt = attempt.id;
    call->result.request = attempt.request;
    call->result.upstream = attempt.upstream;
    auto timeLeft = std::max(attempt.deadline - base::BootClock::now(), base::Duration::zero());
    call->context.set_deadline(std::chrono::system_clock::now() + timeLeft);
    m_impl->calls.insert({ attempt.id, call });
    auto& stub = m_impl->stub(attempt.address);
    auto impl = m_impl;
    if (attempt.isExecution) {
        call->executeCall.set_service(attempt.service);
        call->executeCall.set_body(attempt.body);
        stub.async()->Execute(&call->context, &call->executeCall, &call->executeReply,
            [impl, call](const grpc::Status& status) { impl->finish(call, status, takeExecuteReply); });
        return;
    }
    call->searchCall.set_service(attempt.service);
    call->searchCall.set_shard(attempt.shard);
    call->searchCall.set_snapshot(attempt.snapshot);
    call->searchCall.set_query(attempt.body);
    call->searchCall.set_max_hits(attempt.maxHits);
    stub.async()->Search(&call->context, &call->searchCall, &call->searchReply,
        [impl, call](const grpc::Status& status) { impl->finish(call, status, takeSearchReply); });
}

void UpstreamClient::cancel(routing::AttemptId id)
{
    decltype(m_impl->calls)::const_accessor accessor;
    if (!m_impl->calls.find(accessor, id))
        return;
    auto call = accessor->second;
    accessor.release();
    call->context.TryCancel();
}

}
