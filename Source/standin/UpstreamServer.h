#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace papayabend::standin {

/** \struct UpstreamSettings
 * \brief Shape and faults of one upstream.
 */
struct UpstreamSettings {
    std::string address;
    uint32_t slots { 2 };
    uint32_t serviceTimeUs { 2000 };
    std::vector<uint64_t> snapshots;
    uint64_t unitsPerShard { 1000 };
};

/** \class UpstreamServer
 * \brief gRPC server that answers searches with made-up hits.
 */
class UpstreamServer {
public:
    explicit UpstreamServer(const UpstreamSettings&);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
