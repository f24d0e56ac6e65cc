#include "papayabend/gateway/GatewayHost.h"

#include "gateway/LoopbackFixture.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(GatewayHost)
{
    asio::io_context io;
    PlatformAdapter adapter {};
    GatewaySettings settings;
    std::string folder;
    std::unique_ptr<GatewayHost> host;

    void setup() override
    {
        std::string pattern = "/tmp/papayabend-test-XXXXXX";
        folder = mkdtemp(pattern.data());
        settings.host = { "h", "d", "r", 1 };
        settings.listen = { freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress() };
        settings.store.address = freeAddress();
        settings.table.file = folder + "/table.csv";
        adapter.readinessTarget = "/ready";
        adapter.listTarget = [](std::string_view, std::string_view) { return std::string("/list"); };
        adapter.watchTarget = [](std::string_view, uint64_t, base::Duration) { return std::string("/watch"); };
        adapter.parseEntryRequest = [](std::string_view) { return std::optional<EntryRequest>(); };
    }

    void teardown() override
    {
        host.reset();
        std::remove(settings.table.file.c_str());
        rmdir(folder.c_str());
    }

    void writeTable(const std::string& text) const { std::ofstream(settings.table.file) << text; }

    static std::string tableOf(int version)
    {
        return "version," + std::to_string(version) + "\naccount,default\ndefault,weight=" + std::to_string(version)
            + "\n";
    }

    bool start()
    {
        base::LastReason reason;
        host = std::make_unique<GatewayHost>(io, settings, folder + "/settings.json", adapter, 1);
        return host->start(reason);
    }

    // Returns the version of the loaded table as reported by the metrics.
    std::string loadedTableVersion()
    {
        tcp::socket socket(io);
        auto port = std::stoi(settings.listen.metrics.substr(settings.listen.metrics.find(':') + 1));
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
        asio::write(socket, asio::buffer(std::string("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
        std::string answer;
        bool isEnd = false;
        asio::async_read(
            socket, asio::dynamic_buffer(answer), [&](const boost::system::error_code&, size_t) { isEnd = true; });
        while (!isEnd)
            io.run_for(5ms);
        std::string name = "\npapayabend_gateway_table_version ";
        auto at = answer.find(name);
        return at == std::string::npos ? ""
                                       : answer.substr(at + name.size(), answer.find('\n', at + 1) - at - name.size());
    }

    void checkTableVersionBecomes(const std::string& expected)
    {
        auto end = base::BootClock::now() + 10s;
        while (loadedTableVersion() != expected && base::BootClock::now() < end)
            io.run_for(20ms);
        STRCMP_EQUAL(expected.c_str(), loadedTableVersion().c_str());
    }
};

// Guards against a host that loads an older table or one with an error, or does not load a newer one, when the file
// changes.
TEST(GatewayHost, OnlyNewerValidTablesAreLoadedWhenTheFileChanges)
{
    writeTable(tableOf(2));
    CHECK_TRUE(start());
    checkTableVersionBecomes("2");
    writeTable(tableOf(1));
    io.run_for(500ms); // the host checks the file several times
    checkTableVersionBecomes("2");
    writeTable("version,9\naccount,default\ndefault,weight=none\n");
    io.run_for(500ms);
    checkTableVersionBecomes("2");
    writeTable(tableOf(3));
    checkTableVersionBecomes("3");
}

// Guards against a host that starts and serves although the table in its settings is invalid.
TEST(GatewayHost, HostWithAnInvalidTableDoesNotStart)
{
    writeTable("version,1\n");
    CHECK_FALSE(start());
}

// Guards against a planned stop that ends while a caller is still sending its request: the host waits for the rest, and
// at the end of the grace time it refuses what is not complete.
TEST(GatewayHost, StopWaitsForRequestsThatArriveSlowly)
{
    settings.stop.graceSeconds = 2;
    settings.entryAnswers.timeToLiveSeconds = 0.1;
    writeTable(tableOf(1));
    CHECK_TRUE(start());
    tcp::socket slow(io);
    auto port = std::stoi(settings.listen.callers.substr(settings.listen.callers.find(':') + 1));
    slow.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
    asio::write(slow, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no")));
    std::string answer;
    asio::async_read(slow, asio::dynamic_buffer(answer), [](const boost::system::error_code&, size_t) {});
    io.run_for(50ms);
    std::raise(SIGTERM);
    io.run_for(800ms);
    CHECK_FALSE(io.stopped());
    io.run_for(3s);
    CHECK_TRUE(io.stopped());
    CHECK_TRUE(answer.starts_with("HTTP/1.1 503 "));
}
