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
    asio::steady_timer timer { io };
    std::optional<PullResult> result;

    void setup() override
    {
        PeerEvents events;
        events.crashNotices = [] { return std::vector<dispatch::CrashNotice> {}; };
        events.pullEnded = [this](const PullResult& it) { result = it; };
        link = std::make_unique<PeerLink>(io, fleet, 1, events);
    }

    void pull()
    {
        link->pull("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 1);
        peer = std::make_unique<tcp::socket>(io);
        acceptor.async_accept(*peer, [](const boost::system::error_code&) {});
    }

    // Sends the pieces one after the other with a pause before each.
    void sendPieces(std::vector<std::string> pieces, std::chrono::milliseconds pause)
    {
        if (pieces.empty())
            return;
        timer.expires_after(pause);
        timer.async_wait([this, pieces = std::move(pieces), pause](const boost::system::error_code&) mutable {
            boost::system::error_code ec;
            asio::write(*peer, asio::buffer(pieces.front()), ec);
            pieces.erase(pieces.begin());
            sendPieces(std::move(pieces), pause);
        });
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
    sendPieces({ "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "aa", "bb", "cc", "dd", "ee", "ff" }, 400ms);
    runUntilEnded(10s);
    CHECK_TRUE(result.has_value());
    STRCMP_EQUAL("", result->problem.c_str());
    STRCMP_EQUAL("aabbccddeeff", result->content.c_str());
}
