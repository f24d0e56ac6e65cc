#include "papayabend/gateway/PeerLink.h"

#include "gateway/LoopbackFixture.h"

#include <CppUTest/TestHarness.h>

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
        link->pull("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 1);
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
