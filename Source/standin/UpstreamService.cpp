#include "standin/UpstreamService.h"

#include "papayabend/base/Hash.h"

#include <algorithm>

namespace papayabend::standin {

namespace {

    using End = Job::End;

    protocol::CallStatus statusOf(End how)
    {
        switch (how) {
        case End::Shed:
            return protocol::CALL_STATUS_SHED;
        case End::Draining:
            return protocol::CALL_STATUS_DRAINING;
        case End::SnapshotUnavailable:
            return protocol::CALL_STATUS_SNAPSHOT_UNAVAILABLE;
        case End::UnknownShard:
            return protocol::CALL_STATUS_UNKNOWN_SHARD;
        default:
            return protocol::CALL_STATUS_RAN;
        }
    }

    grpc::Status errorOf(End how)
    {
        switch (how) {
        case End::DeadlineExceeded:
            return { grpc::StatusCode::DEADLINE_EXCEEDED, "the deadline passed before a slot was free" };
        case End::Cancelled:
            return grpc::Status::CANCELLED;
        case End::Failed:
            return { grpc::StatusCode::UNAVAILABLE, "failed" };
        case End::Crashed:
            return { grpc::StatusCode::UNAVAILABLE, "crashed" };
        default:
            return grpc::Status::OK;
        }
    }

    void fill(protocol::Load& load, const Job& job)
    {
        load.set_slots_busy(job.slotsBusy);
        load.set_queued(job.queued);
        load.set_draining(job.isDraining);
        load.set_service_time_us(static_cast<uint64_t>(job.held.count()));
    }

    // Hits name snapshot and shard, so that a test can detect an answer that mixes snapshots.
    void fillHits(protocol::SearchReply& reply, const Job& job, uint32_t maxHits)
    {
        for (uint32_t n = 0; n < std::min<uint32_t>(maxHits, 3); ++n) {
            auto document = std::to_string(job.snapshot) + "/" + job.shard + "/" + std::to_string(n);
            auto* hit = reply.add_hits();
            hit->set_document(document);
            hit->set_score(static_cast<double>(base::hash(document + job.body) % 100'000) / 100'000);
        }
    }

    /** Waits for the simulation and deletes itself when the call is over. */
    class Reactor final : public grpc::ServerUnaryReactor {
    public:
        Reactor(boost::asio::io_context& io, SimulatedUpstream& upstream, std::shared_ptr<Job> job)
            : m_io(io)
            , m_upstream(upstream)
            , m_job(std::move(job))
        {
        }

        void start()
        {
            boost::asio::post(m_io, [&upstream = m_upstream, job = m_job] { upstream.submit(job); });
        }
        void OnCancel() override // NOLINT(readability-identifier-naming): name set by gRPC
        {
            boost::asio::post(m_io, [&upstream = m_upstream, job = m_job] { upstream.cancel(job); });
        }
        void OnDone() override { delete this; } // NOLINT(readability-identifier-naming)

    private:
        boost::asio::io_context& m_io;
        SimulatedUpstream& m_upstream;
        std::shared_ptr<Job> m_job;
    };

    grpc::ServerUnaryReactor* refuseUnknownConnection(grpc::CallbackServerContext* context)
    {
        auto* reactor = context->DefaultReactor();
        reactor->Finish({ grpc::StatusCode::INTERNAL, "unknown connection " + context->peer() });
        return reactor;
    }

}

void UpstreamService::setUpstream(int descriptor, SimulatedUpstream* upstream)
{
    std::scoped_lock lock(m_mutex);
    m_upstreams["fd:" + std::to_string(descriptor)] = upstream;
}

SimulatedUpstream* UpstreamService::upstreamOf(const grpc::CallbackServerContext& context)
{
    std::scoped_lock lock(m_mutex);
    auto it = m_upstreams.find(context.peer());
    return it == m_upstreams.end() ? nullptr : it->second;
}

grpc::ServerUnaryReactor* UpstreamService::Search(
    grpc::CallbackServerContext* context, const protocol::SearchCall* call, protocol::SearchReply* reply)
{
    auto* upstream = upstreamOf(*context);
    if (!upstream)
        return refuseUnknownConnection(context);
    auto job = std::make_shared<Job>();
    job->service = call->service();
    job->shard = call->shard();
    job->snapshot = call->snapshot();
    job->body = call->query();
    job->deadline = context->deadline();
    auto* reactor = new Reactor(m_io, *upstream, job);
    job->finish = [reactor, reply, &job = *job, maxHits = call->max_hits()](End how) {
        reply->set_status(statusOf(how));
        reply->set_shard(job.shard);
        reply->set_snapshot(job.snapshot);
        fill(*reply->mutable_load(), job);
        if (how == End::Ran) {
            reply->set_units_searched(job.units);
            fillHits(*reply, job, maxHits);
        }
        reactor->Finish(errorOf(how));
    };
    reactor->start();
    return reactor;
}

grpc::ServerUnaryReactor* UpstreamService::Execute(
    grpc::CallbackServerContext* context, const protocol::ExecuteCall* call, protocol::ExecuteReply* reply)
{
    auto* upstream = upstreamOf(*context);
    if (!upstream)
        return refuseUnknownConnection(context);
    auto job = std::make_shared<Job>();
    job->service = call->service();
    job->body = call->body();
    job->isExecution = true;
    job->deadline = context->deadline();
    auto* reactor = new Reactor(m_io, *upstream, job);
    job->finish = [reactor, reply, &job = *job](End how) {
        reply->set_status(statusOf(how));
        fill(*reply->mutable_load(), job);
        if (how == End::Ran)
            reply->set_body("executed " + job.body);
        reactor->Finish(errorOf(how));
    };
    reactor->start();
    return reactor;
}

grpc::ServerUnaryReactor* UpstreamService::Probe(
    grpc::CallbackServerContext* context, const protocol::ProbeCall*, protocol::ProbeReply* reply)
{
    auto* reactor = context->DefaultReactor();
    auto* upstream = upstreamOf(*context);
    if (!upstream)
        return refuseUnknownConnection(context);
    boost::asio::post(m_io, [upstream, reply, reactor] {
        // A misleading upstream reports that it is in order while it drains.
        reply->mutable_load()->set_draining(upstream->behaviour.isDraining && !upstream->behaviour.misleadsOnLoad);
        for (const auto& [key, shards] : upstream->holdings)
            reply->add_snapshots(key.second);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

}
