#include "papayabend/gateway/PeerLink.h"

#include "gateway/LoopbackFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(PeerLink)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    fleet::FleetView fleet { fleet::Heartbeat {} };
    std::unique_ptr<PeerLink> link;
    std::unique_ptr<tcp::socket> peer;
    std::optional<PullResult> result;
    PieceSender sender { io };

    void setup() override
    {
        PeerEvents events;
        events.crashNotices = [](bool) { return std::vector<dispatch::CrashNotice> {}; };
        events.limitNotices = [] { return std::vector<dispatch::LimitNotice> {}; };
        events.pullEnded = [this](const PullResult& it) { result = it; };
        link = std::make_unique<PeerLink>(io, fleet, 1, events);
    }

    void pull()
    {
        link->pull("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), { 0, 1 });
        peer = std::make_unique<tcp::socket>(io);
        acceptor.async_accept(*peer, [](const boost::system::error_code&) {});
    }

    void runUntilEnded(base::Duration longest)
    {
        auto end = base::BootClock::now() + longest;
        while (!result && base::BootClock::now() < end)
            io.run_for(20ms);
    }
};

// Guards against giving up a transfer that is slow but goes on: all hosts behind one busy link would start it again.
TEST(PeerLink, PullThatMakesProgressIsNotAbandoned)
{
    pull();
    sender.send(*peer, { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "aa", "bb", "cc", "dd", "ee", "ff" }, 400ms);
    runUntilEnded(10s);
    CHECK_TRUE(result.has_value());
    STRCMP_EQUAL("", result->problem.c_str());
    STRCMP_EQUAL("aabbccddeeff", result->content.c_str());
}

// Guards against a length that another host states and never sends.
TEST(PeerLink, StatedLengthReservesNothing)
{
    pull();
    sender.send(*peer, { "HTTP/1.1 200 OK\r\nContent-Length: 300000000000000\r\n\r\naa" }, 1ms);
    runUntilEnded(10s);
    CHECK_TRUE(result.has_value());
    STRCMP_EQUAL("the stated length of the answer is above the limit", result->problem.c_str());
}

// Guards against a datagram that cannot be handled and ends the process or the exchange of heartbeats, and against one
// that states more elements than it has.
TEST(PeerLink, ExceptionOfTheHandlerEndsOneDatagram)
{
    auto faults = std::make_shared<MessageFaults>();
    size_t received = 0;
    size_t refused = 0;
    PeerEvents events;
    events.crashNotices = [](bool) { return std::vector<dispatch::CrashNotice> {}; };
    events.limitNotices = [] { return std::vector<dispatch::LimitNotice> {}; };
    events.messageReceived = [&](const fleet::HeartbeatMessage&) {
        if (++received == 1)
            throw std::length_error("cannot handle it");
    };
    events.messageRefused = [&](const std::string&, const std::string&) { ++refused; };
    link = std::make_unique<PeerLink>(io, fleet, 1, events, faults);
    std::string address;
    do
        address = freeAddress();
    while (!link->start(address, {}));
    asio::ip::udp::socket other(io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::ip::udp::endpoint endpoint(
        asio::ip::address_v4::loopback(), static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    auto message = fleet::encodeHeartbeats({ { fleet.self() }, {}, {}, {} });
    for (const auto* lengths : { "\x9b\xff\xff\xff\xff\xff\xff\xff\xfe", "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff" })
        other.send_to(asio::buffer(std::string(lengths, 9)), endpoint);
    for (int n = 0; n < 2; ++n)
        other.send_to(asio::buffer(message), endpoint);
    auto end = base::BootClock::now() + 5s;
    while (received < 2 && base::BootClock::now() < end)
        io.run_for(5ms);
    LONGS_EQUAL(2, received);
    LONGS_EQUAL(2, refused);
    LONGS_EQUAL(1, faults->count());
}

// Guards against a sender of datagrams that keeps the event loop from all else.
TEST(PeerLink, DatagramsLeaveTurnsToOtherEvents)
{
    constexpr size_t datagrams = 200;
    size_t refused = 0;
    PeerEvents events;
    events.crashNotices = [](bool) { return std::vector<dispatch::CrashNotice> {}; };
    events.limitNotices = [] { return std::vector<dispatch::LimitNotice> {}; };
    events.messageRefused = [&](const std::string&, const std::string&) { ++refused; };
    link = std::make_unique<PeerLink>(io, fleet, 1, events);
    std::string address;
    do
        address = freeAddress();
    while (!link->start(address, {}));
    asio::ip::udp::socket other(io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::ip::udp::endpoint endpoint(
        asio::ip::address_v4::loopback(), static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    for (size_t n = 0; n < datagrams; ++n)
        other.send_to(asio::buffer(std::string("x")), endpoint);
    size_t most = 0;
    auto end = base::BootClock::now() + 5s;
    while (refused < datagrams && base::BootClock::now() < end) {
        auto before = refused;
        io.run_one_for(5ms);
        most = std::max(most, refused - before);
    }
    LONGS_EQUAL(datagrams, refused);
    CHECK_TRUE(most < datagrams / 2);
}

// Guards against a host that pulls content under an address that is not valid text: the refusal names such addresses,
// and must not throw.
TEST(PeerLink, RefusalNamesAddressesThatAreNoText)
{
    std::string address = "\xff\xfe";
    CHECK_TRUE(PeerLink::busyAnswer(std::span(&address, 1)).find("referrals") != std::string::npos);
}
