#include "papayabend/fleet/HeartbeatCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayabend::fleet {

namespace {

    using nlohmann::json;

    // A heartbeat is an array, which takes less space than an object; the order is that of the members of Heartbeat.
    json toJson(const Heartbeat& heartbeat)
    {
        return json::array({ heartbeat.name, heartbeat.callerAddress, heartbeat.peerAddress, heartbeat.failureDomain,
            heartbeat.incarnation, heartbeat.sequence, static_cast<unsigned>(heartbeat.stage),
            heartbeat.configurationVersion, heartbeat.contentRevision, heartbeat.isStoreUnreachable, heartbeat.capacity,
            heartbeat.load });
    }

    Heartbeat heartbeatOf(const json& value)
    {
        // Hosts of the version before send no load.
        constexpr size_t loadIndex = 11;
        auto load = value.size() > loadIndex ? value.at(loadIndex).get<uint32_t>() : 0;
        auto stage = std::min(value.at(6).get<unsigned>(), static_cast<unsigned>(HostStage::Leaving));
        return { value.at(0).get<std::string>(), value.at(1).get<std::string>(), value.at(2).get<std::string>(),
            value.at(3).get<std::string>(), value.at(4).get<uint64_t>(), value.at(5).get<uint64_t>(),
            static_cast<HostStage>(stage), value.at(7).get<uint64_t>(), value.at(8).get<uint64_t>(),
            value.at(9).get<bool>(), value.at(10).get<uint32_t>(), load };
    }

}

std::string encodeHeartbeats(const HeartbeatMessage& message)
{
    auto heartbeats = json::array();
    for (const auto& heartbeat : message.heartbeats)
        heartbeats.push_back(toJson(heartbeat));
    auto crashes = json::array();
    for (const auto& notice : message.crashes)
        crashes.push_back(json::array({ notice.fingerprint, notice.crashes }));
    std::string bytes;
    json::to_cbor(json::array({ heartbeats, crashes, message.changes }), bytes);
    return bytes;
}

std::optional<HeartbeatMessage> decodeHeartbeats(std::span<const uint8_t> bytes, base::LastReason& reason)
{
    try {
        auto value = json::from_cbor(bytes);
        HeartbeatMessage message;
        for (const auto& heartbeat : value.at(0))
            message.heartbeats.push_back(heartbeatOf(heartbeat));
        for (const auto& notice : value.at(1))
            message.crashes.push_back({ notice.at(0).get<uint64_t>(), notice.at(1).get<uint32_t>() });
        message.changes = value.at(2).get<std::string>();
        return message;
    } catch (const json::exception& error) {
        return base::fail(reason, std::string("not a beat: ") + error.what());
    }
}

}
