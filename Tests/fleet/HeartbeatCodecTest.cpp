#include "papayabend/fleet/HeartbeatCodec.h"
#include "fleet/FleetFixture.h"
#include "papayabend/base/CborDepth.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(HeartbeatCodec)
{
    base::LastReason reason;

    std::optional<HeartbeatMessage> decode(const std::string& bytes)
    {
        return decodeHeartbeats({ reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size() }, reason);
    }
};

// Guards against a field that is lost or changed in encoding and decoding.
TEST(HeartbeatCodec, MessageIsReadBackUnchanged)
{
    auto heartbeat = hostHeartbeat("b", "d1", 3, 7);
    heartbeat.stage = HostStage::Leaving;
    heartbeat.configurationVersion = 11;
    heartbeat.contentRevision = 12;
    heartbeat.contentEra = 4;
    heartbeat.reach = UpstreamReachState::Lost;
    heartbeat.isStoreUnreachable = true;
    heartbeat.capacity = 250;
    heartbeat.load = 1700;
    heartbeat.demand = 800;
    heartbeat.storeAgeMs = 1250;
    heartbeat.changeAgeMs = 70'000;
    heartbeat.fanOutRoom = std::string("\0\xff", 2);
    auto message = decode(
        encodeHeartbeats({ { heartbeat }, { { 99, 5, 6, dispatch::LossState::ServiceOnly, 70ms }, { 99, 8, 9 } },
            std::string("\0x", 2), { { 77, 22.5, base::Duration(1500) }, { 78, std::nullopt, base::Duration(0) } } }));
    CHECK_TRUE(message.has_value());
    const auto& read = message->heartbeats.front();
    STRCMP_EQUAL("b", read.name.c_str());
    STRCMP_EQUAL("callers.b", read.callerAddress.c_str());
    STRCMP_EQUAL("peers.b", read.peerAddress.c_str());
    STRCMP_EQUAL("d1", read.failureDomain.c_str());
    CHECK_TRUE(read.stage == HostStage::Leaving && read.isStoreUnreachable);
    LONGS_EQUAL(3, read.incarnation);
    LONGS_EQUAL(7, read.sequence);
    LONGS_EQUAL(11, read.configurationVersion);
    LONGS_EQUAL(12, read.contentRevision);
    LONGS_EQUAL(4, read.contentEra);
    CHECK_TRUE(read.reach == UpstreamReachState::Lost);
    LONGS_EQUAL(250, read.capacity);
    LONGS_EQUAL(1700, read.load);
    LONGS_EQUAL(800, read.demand);
    LONGS_EQUAL(1250, read.storeAgeMs);
    LONGS_EQUAL(70'000, read.changeAgeMs);
    CHECK_TRUE(read.fanOutRoom == heartbeat.fanOutRoom);
    LONGS_EQUAL(77, message->limits[0].upstream);
    DOUBLES_EQUAL(22.5, *message->limits[0].perSecond, 0);
    LONGS_EQUAL(1500, message->limits[0].age.count());
    CHECK_FALSE(message->limits[1].perSecond.has_value());
    LONGS_EQUAL(2, message->crashes.size());
    const auto& crash = message->crashes.front();
    LONGS_EQUAL(99, crash.fingerprint);
    LONGS_EQUAL(5, crash.upstream);
    LONGS_EQUAL(6, crash.service);
    CHECK_TRUE(crash.state == dispatch::LossState::ServiceOnly && crash.age == 70ms);
    CHECK_TRUE(message->crashes.back().state == dispatch::LossState::Counted);
    LONGS_EQUAL(2, message->changes.size());
}

// Guards against a process that exits because of a datagram from another program or a truncated one.
TEST(HeartbeatCodec, OtherBytesAreRefusedWithAReason)
{
    for (const auto* text : { "", "GET / HTTP/1.1", "\x83\x01\x02\x03", "\xff\xff" }) {
        CHECK_FALSE(decode(text).has_value());
        CHECK_TRUE(reason.text.starts_with("not a heartbeat message: "));
    }
    auto bytes = encodeHeartbeats({ { hostHeartbeat("b", "d1") }, {}, {} });
    for (size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(decode(bytes.substr(0, n)).has_value());
}

// Guards against hosts of previous versions that refuse the heartbeats of newer ones: they expect a number of lost
// upstreams for each request and messages of three levels.
TEST(HeartbeatCodec, PreviousVersionsReadTheNumberOfLostUpstreams)
{
    std::vector<dispatch::CrashNotice> crashes { { 99, 1, 1 }, { 99, 2, 1 }, { 98, 1, 1 },
        { 99, 3, 1, dispatch::LossState::Void } };
    auto bytes = encodeHeartbeats({ { hostHeartbeat("b", "d1") }, crashes, {}, {} });
    CHECK_TRUE(base::isCborOfDepth({ reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size() }, 3));
    auto counts = nlohmann::json::from_cbor(bytes).at(1);
    LONGS_EQUAL(1, counts.size());
    LONGS_EQUAL(99, counts.at(0).at(0).get<uint64_t>());
    LONGS_EQUAL(2, counts.at(0).at(1).get<uint32_t>());
}

// Guards against refusing the heartbeats of hosts of previous versions, and against taking a field that they lack for a
// confirmation of the store.
TEST(HeartbeatCodec, HeartbeatsOfPreviousVersionsStateNoAge)
{
    constexpr size_t previousFields = 13;
    auto value = nlohmann::json::from_cbor(encodeHeartbeats({ { hostHeartbeat("b", "d1") }, {}, {} }));
    auto& heartbeat = value.at(0).at(0);
    heartbeat.erase(heartbeat.begin() + previousFields, heartbeat.end());
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    auto message = decode(bytes);
    CHECK_TRUE(message.has_value());
    CHECK_TRUE(message->heartbeats.front().storeAgeMs == Heartbeat::unknownStoreAge);
}

// Guards against a process that exits because of a deeply nested datagram.
TEST(HeartbeatCodec, DeeplyNestedMessagesAreRefused)
{
    for (const auto* start : { "\x81", "\x9f", "\x7f", "\x5f",
             "\xa1\x61"
             "a",
             "\xbf\x61"
             "a" }) {
        std::string bytes;
        while (bytes.size() < 65'000)
            bytes += start;
        CHECK_FALSE(decode(bytes).has_value());
    }
}
