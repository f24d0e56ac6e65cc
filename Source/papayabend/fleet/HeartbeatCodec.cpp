#include "papayabend/fleet/HeartbeatCodec.h"

#include "papayabend/base/CborDepth.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayabend::fleet {

namespace {

    using nlohmann::json;

    // Stands for an upstream that names no limit.
    constexpr double noLimit = -1;

    // A heartbeat is encoded as an array, which is shorter than an object; its elements are the members of Heartbeat in
    // their order.
    json toJson(const Heartbeat& heartbeat)
    {
        return json::array({ heartbeat.name, heartbeat.callerAddress, heartbeat.peerAddress, heartbeat.failureDomain,
            heartbeat.incarnation, heartbeat.sequence, static_cast<unsigned>(heartbeat.stage),
            heartbeat.configurationVersion, heartbeat.contentRevision, heartbeat.isStoreUnreachable, heartbeat.capacity,
            heartbeat.load, heartbeat.demand, heartbeat.storeAgeMs, heartbeat.changeAgeMs, heartbeat.fanOutRoom,
            heartbeat.contentEra, static_cast<unsigned>(heartbeat.reach) });
    }

    // Hosts of previous versions expect the number of lost upstreams of each request, and no deeper nesting.
    json lossCounts(std::span<const dispatch::CrashNotice> notices)
    {
        std::map<uint64_t, uint32_t> counts;
        for (const auto& notice : notices)
            counts[notice.fingerprint] += notice.state == dispatch::LossState::Counted ? 1 : 0;
        auto array = json::array();
        for (const auto& [fingerprint, count] : counts) {
            if (count >= 2)
                array.push_back(json::array({ fingerprint, count }));
        }
        return array;
    }

    json toJson(const dispatch::CrashNotice& notice)
    {
        return json::array({ notice.fingerprint, notice.upstream, notice.service, static_cast<unsigned>(notice.state),
            notice.age.count() });
    }

    dispatch::CrashNotice crashNoticeOf(const json& value)
    {
        auto state = std::min(value.at(3).get<unsigned>(), static_cast<unsigned>(dispatch::LossState::Void));
        return { value.at(0).get<uint64_t>(), value.at(1).get<uint64_t>(), value.at(2).get<uint32_t>(),
            static_cast<dispatch::LossState>(state), base::Duration(value.at(4).get<int64_t>()) };
    }

    Heartbeat heartbeatOf(const json& value)
    {
        // Hosts of previous versions do not send the last ones.
        auto laterField = [&value](size_t index, uint32_t absent = 0) {
            return value.size() > index ? value.at(index).get<uint32_t>() : absent;
        };
        constexpr size_t roomIndex = 15;
        constexpr size_t eraIndex = 16;
        auto room = value.size() > roomIndex ? value.at(roomIndex).get<std::string>() : std::string();
        auto era = value.size() > eraIndex ? value.at(eraIndex).get<uint64_t>() : 0;
        constexpr size_t reachIndex = 17;
        auto reach = std::min(laterField(reachIndex), static_cast<uint32_t>(UpstreamReachState::Lost));
        auto stage = std::min(value.at(6).get<unsigned>(), static_cast<unsigned>(HostStage::Leaving));
        return { value.at(0).get<std::string>(), value.at(1).get<std::string>(), value.at(2).get<std::string>(),
            value.at(3).get<std::string>(), value.at(4).get<uint64_t>(), value.at(5).get<uint64_t>(),
            static_cast<HostStage>(stage), value.at(7).get<uint64_t>(), value.at(8).get<uint64_t>(),
            value.at(9).get<bool>(), value.at(10).get<uint32_t>(), laterField(11), laterField(12),
            laterField(13, Heartbeat::unknownStoreAge), laterField(14), std::move(room), era,
            static_cast<UpstreamReachState>(reach) };
    }

}

std::string encodeHeartbeats(const HeartbeatMessage& message)
{
    auto heartbeats = json::array();
    for (const auto& heartbeat : message.heartbeats)
        heartbeats.push_back(toJson(heartbeat));
    auto crashes = json::array();
    std::ranges::transform(
        message.crashes, std::back_inserter(crashes), [](const auto& notice) { return toJson(notice); });
    auto limits = json::array();
    for (const auto& notice : message.limits)
        limits.push_back(json::array({ notice.upstream, notice.perSecond.value_or(noLimit), notice.age.count() }));
    std::string bytes;
    json::to_cbor(json::array({ heartbeats, lossCounts(message.crashes), message.changes, limits, crashes }), bytes);
    return bytes;
}

std::optional<HeartbeatMessage> decodeHeartbeats(std::span<const uint8_t> bytes, base::LastReason& reason)
{
    constexpr size_t maxDepth = 3;
    if (!base::isCborOfDepth(bytes, maxDepth))
        return base::fail(reason, "not a heartbeat message: not CBOR, or nested too deeply");
    try {
        auto value = json::from_cbor(bytes);
        HeartbeatMessage message;
        for (const auto& heartbeat : value.at(0))
            message.heartbeats.push_back(heartbeatOf(heartbeat));
        message.changes = value.at(2).get<std::string>();
        constexpr size_t limitsIndex = 3;
        constexpr size_t crashesIndex = 4;
        if (value.size() <= limitsIndex)
            return message;
        for (const auto& notice : value.at(limitsIndex)) {
            auto limit = notice.at(1).get<double>();
            message.limits.push_back({ notice.at(0).get<uint64_t>(), limit >= 0 ? std::optional(limit) : std::nullopt,
                base::Duration(notice.at(2).get<int64_t>()) });
        }
        if (value.size() <= crashesIndex)
            return message;
        for (const auto& notice : value.at(crashesIndex))
            message.crashes.push_back(crashNoticeOf(notice));
        return message;
    } catch (const json::exception& error) {
        return base::fail(reason, std::string("not a heartbeat message: ") + error.what());
    }
}

}
