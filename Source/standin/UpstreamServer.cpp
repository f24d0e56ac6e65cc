#include "standin/UpstreamServer.h"

#include "papayabend/base/Hash.h"
#include "upstream.grpc.pb.h"

#include <algorithm>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <semaphore>
#include <thread>

namespace papayabend::standin {

namespace {

    constexpr ptrdiff_t maxSlots = 1024;

    class Service final : public protocol::Upstream::Service {
    public:
        explicit Service(const UpstreamSettings& settings)
            : m_settings(settings)
            , m_slots(settings.slots)
        {
        }

        grpc::Status Search(
            grpc::ServerContext*, const protocol::SearchCall* call, protocol::SearchReply* reply) override
        {
            reply->set_shard(call->shard());
            reply->set_snapshot(call->snapshot());
            if (std::ranges::find(m_settings.snapshots, call->snapshot()) == m_settings.snapshots.end()) {
                reply->set_status(protocol::CALL_STATUS_SNAPSHOT_UNAVAILABLE);
                return grpc::Status::OK;
            }
            holdSlot();
            auto* hit = reply->add_hits();
            hit->set_document(call->shard() + "/" + call->query());
            hit->set_score(static_cast<double>(base::hash(call->shard() + call->query()) % 1000) / 1000);
            reply->set_units_searched(m_settings.unitsPerShard);
            reply->mutable_load()->set_service_time_us(m_settings.serviceTimeUs);
            return grpc::Status::OK;
        }

        grpc::Status Execute(
            grpc::ServerContext*, const protocol::ExecuteCall* call, protocol::ExecuteReply* reply) override
        {
            holdSlot();
            reply->set_body("executed " + call->body());
            return grpc::Status::OK;
        }

    private:
        void holdSlot()
        {
            m_slots.acquire();
            std::this_thread::sleep_for(std::chrono::microseconds(m_settings.serviceTimeUs));
            m_slots.release();
        }

        UpstreamSettings m_settings;
        std::counting_semaphore<maxSlots> m_slots;
    };

}

struct UpstreamServer::Impl {
    Service service;
    std::unique_ptr<grpc::Server> server;
};

UpstreamServer::UpstreamServer(const UpstreamSettings& settings)
    : m_impl(new Impl { Service(settings), nullptr })
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(settings.address, grpc::InsecureServerCredentials());
    builder.RegisterService(&m_impl->service);
    m_impl->server = builder.BuildAndStart();
}

UpstreamServer::~UpstreamServer() = default;

}
