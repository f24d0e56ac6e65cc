#include "papayabend/fleet/BeatCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayabend::fleet {

namespace {

    using nlohmann::json;

    // A heartbeat is encoded as an array, which is shorter than an object; its elements are the members of HostBeat in
    // their order.
    json toJson(const HostBeat& beat)
    {
        return json::array({ beat.name, beat.callerAddress, beat.peerAddress, beat.failureDomain, beat.incarnation,
            beat.sequence, static_cast<unsigned>(beat.stage), beat.configurationVersion, beat.contentRevision,
            beat.isTurnedAway, beat.capacity, beat.load });
    }

    HostBeat beatOf(const json& value)
    {
        // Hosts of the previous version do not send the load.
        constexpr size_t loadIndex = 11;
        auto load = value.size() > loadIndex ? value.at(loadIndex).get<uint32_t>() : 0;
        auto stage = std::min(value.at(6).get<unsigned>(), static_cast<unsigned>(HostStage::Leaving));
        return { value.at(0).get<std::string>(), value.at(1).get<std::string>(), value.at(2).get<std::string>(),
            value.at(3).get<std::string>(), value.at(4).get<uint64_t>(), value.at(5).get<uint64_t>(),
            static_cast<HostStage>(stage), value.at(7).get<uint64_t>(), value.at(8).get<uint64_t>(),
            value.at(9).get<bool>(), value.at(10).get<uint32_t>(), load };
    }

}

std::string encodeBeats(const BeatMessage& message)
{
    auto beats = json::array();
    for (const auto& beat : message.beats)
        beats.push_back(toJson(beat));
    auto crashes = json::array();
    for (const auto& note : message.crashes)
        crashes.push_back(json::array({ note.fingerprint, note.crashes }));
    std::string bytes;
    json::to_cbor(json::array({ beats, crashes, message.changes }), bytes);
    return bytes;
}

std::optional<BeatMessage> decodeBeats(std::span<const uint8_t> bytes, base::LastReason& reason)
{
    try {
        auto value = json::from_cbor(bytes);
        BeatMessage message;
        for (const auto& beat : value.at(0))
            message.beats.push_back(beatOf(beat));
        for (const auto& note : value.at(1))
            message.crashes.push_back({ note.at(0).get<uint64_t>(), note.at(1).get<uint32_t>() });
        message.changes = value.at(2).get<std::string>();
        return message;
    } catch (const json::exception& error) {
        return base::fail(reason, std::string("not a heartbeat message: ") + error.what());
    }
}

}
