#include "papayabend/gateway/GatewayHost.h"

#include "gateway/LoopbackFixture.h"
#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>
#include <ranges>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Larger than the socket buffers of a loopback connection.
constexpr size_t contentBytes = 16 << 20;

std::optional<StorePage> parseLargePage(std::string_view, base::LastReason&)
{
    return StorePage { { { "large", std::string(contentBytes, 'x'), 1 } }, false, 1 };
}

}

TEST_GROUP(ContentTransfer)
{
    asio::io_context io;
    ScriptedUpstream store { io };
    PlatformAdapter adapter {};
    GatewaySettings settings;
    std::unique_ptr<GatewayHost> host;
    std::vector<std::unique_ptr<tcp::socket>> peers;
    std::vector<std::string> answers;

    void setup() override
    {
        settings.host = { "h", "d", "r", 1 };
        settings.listen = { freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress() };
        settings.store.address = store.address;
        adapter.readinessTarget = "/ready";
        adapter.configurationKey = "configuration";
        adapter.upstreamPrefix = "upstreams/";
        adapter.listTarget = [](std::string_view, std::string_view) { return std::string("/list"); };
        adapter.watchTarget = [](std::string_view, uint64_t, base::Duration) { return std::string("/watch"); };
        adapter.parsePage = parseLargePage;
        adapter.parseEvents = parseLargePage;
        adapter.parseStoreEra = [](const HttpResponse&) { return std::optional<uint64_t>(0); };
        adapter.parseEntryRequest = [](std::string_view) { return std::optional<EntryRequest>(); };
        host = std::make_unique<GatewayHost>(io, settings, "", adapter, 1);
        base::LastReason reason;
        CHECK_TRUE(host->start(reason));
    }

    // Requests all content on a new connection and reads the status of the answer, but not its body.
    std::string requestContent()
    {
        auto& peer = *peers.emplace_back(std::make_unique<tcp::socket>(io));
        auto port = std::stoi(settings.listen.peers.substr(settings.listen.peers.find(':') + 1));
        peer.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
        asio::write(peer, asio::buffer(std::string("GET /content?after=0 HTTP/1.1\r\nHost: h\r\n\r\n")));
        std::string status(12, ' ');
        bool isRead = false;
        asio::async_read(peer, asio::buffer(status), [&](const boost::system::error_code&, size_t) { isRead = true; });
        while (!isRead)
            io.run_for(1ms);
        return status.substr(9);
    }

    void awaitContent()
    {
        auto end = base::BootClock::now() + 10s;
        while (requestContent() != "200" && base::BootClock::now() < end)
            io.run_for(20ms);
        peers.clear();
        io.run_for(50ms);
    }
};

// Guards against many simultaneous transfers that fill the host's link, so that none of them ends in time.
TEST(ContentTransfer, TransfersBeyondTheLimitAreRefusedUntilOneEnds)
{
    awaitContent();
    auto isServed = [this](int) { return requestContent() == "200"; };
    auto first = std::views::iota(0, 10);
    LONGS_EQUAL(2, std::ranges::count_if(first, isServed));
    peers.clear();
    io.run_for(50ms);
    CHECK_TRUE(isServed(0));
}
