#include "papayabend/gateway/GatewayHost.h"

#include "gateway/LoopbackFixture.h"
#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string upstreamAddress;
std::string unreachableAddress;

std::optional<routes::Configuration> parseConfiguration(std::string_view, base::LastReason&)
{
    routes::Configuration configuration;
    configuration.version = 1;
    routes::Route route { .name = "a", .host = "h.example", .prefix = "/a/", .timeout = 3s, .latencyObjective = 1s };
    route.destinations.push_back({ "desk", 1 });
    configuration.routes.push_back(route);
    return configuration;
}

discovery::UpstreamRecord recordAt(std::string_view id, const std::string& address)
{
    return { .id = std::string(id), .service = "desk", .address = address, .failureDomain = "d", .concurrency = 4 };
}

std::optional<discovery::UpstreamRecord> parseReachable(std::string_view id, std::string_view, base::LastReason&)
{
    return recordAt(id, upstreamAddress);
}

std::optional<discovery::UpstreamRecord> parseUnreachable(std::string_view id, std::string_view, base::LastReason&)
{
    return recordAt(id, unreachableAddress);
}

std::optional<StorePage> parsePage(std::string_view, base::LastReason&)
{
    return StorePage { { { "configuration", "1", 1 }, { "upstreams/u", "u", 2 } }, false, 2 };
}

}

TEST_GROUP(RequestRelay)
{
    asio::io_context io;
    ScriptedUpstream store { io };
    ScriptedUpstream upstream { io };
    std::vector<std::unique_ptr<PlatformAdapter>> adapters;
    std::vector<std::string> ports;
    std::vector<GatewaySettings> settings;
    std::vector<std::unique_ptr<GatewayHost>> hosts;

    void setup() override
    {
        for (size_t n = 0; n < 5; ++n) {
            auto address = freeAddress();
            ports.push_back(address.substr(address.find(':') + 1));
        }
        upstreamAddress = upstream.address;
        unreachableAddress = freeAddress();
    }

    void start(bool isCutOff)
    {
        auto& adapter = *adapters.emplace_back(std::make_unique<PlatformAdapter>());
        adapter.headers = { "X-Id", "X-Left", "X-Expect", "X-Not-Executed", "X-Proof", "X-Proofs", "X-Missing" };
        adapter.readinessTarget = "/ready";
        adapter.configurationKey = "configuration";
        adapter.upstreamPrefix = "upstreams/";
        adapter.listTarget = [](std::string_view, std::string_view) { return std::string("/list"); };
        adapter.watchTarget = [](std::string_view, uint64_t, base::Duration) { return std::string("/watch"); };
        adapter.parseConfiguration = parseConfiguration;
        adapter.parseUpstream = isCutOff ? parseUnreachable : parseReachable;
        adapter.parseUpstreamReport = [](const HttpResponse&) { return UpstreamReport {}; };
        adapter.parsePage = parsePage;
        adapter.parseEvents = [](std::string_view, base::LastReason&) {
            return std::optional(StorePage { {}, false, 2 });
        };
        adapter.parseStoreEra = [](const HttpResponse&) { return std::optional<uint64_t>(0); };
        adapter.parseEntryRequest = [](std::string_view) { return std::optional<EntryRequest>(); };
        auto& own = settings.emplace_back();
        own.host = { "h" + std::to_string(settings.size()), "d", "r", 1 };
        // Hosts expect each other at the same port.
        auto ip = "127.0.0." + std::to_string(settings.size());
        auto at = [&](size_t n) { return ip + ":" + ports[n]; };
        own.listen = { at(0), at(1), at(2), at(3), at(4) };
        own.store.address = store.address;
        own.peers.seeds = { settings.front().listen.peers };
        auto& host = *hosts.emplace_back(std::make_unique<GatewayHost>(io, own, "", adapter, settings.size()));
        base::LastReason reason;
        CHECK_TRUE(host.start(reason));
    }

    /** Returns the answer of host \a n to a request, or an empty text. */
    std::string request(size_t n, const std::string& head = "GET /a/x")
    {
        tcp::socket socket(io);
        auto address = asio::ip::make_address_v4("127.0.0." + std::to_string(n + 1));
        socket.connect(tcp::endpoint(address, static_cast<uint16_t>(std::stoi(ports[0]))));
        asio::write(socket,
            asio::buffer(head + " HTTP/1.1\r\nHost: h.example\r\nX-Id: 7\r\nX-Left: 2500\r\nX-Own: kept\r\n"
                + "Connection: close\r\n\r\n"));
        std::string answer;
        bool isEnd = false;
        asio::async_read(
            socket, asio::dynamic_buffer(answer), [&](const boost::system::error_code&, size_t) { isEnd = true; });
        auto end = base::BootClock::now() + 5s;
        while (!isEnd && base::BootClock::now() < end)
            io.run_for(5ms);
        return answer;
    }

    /** Repeats a request to host \a n until the answer begins with \a status; returns the last answer. */
    std::string requestUntil(size_t n, const std::string& status)
    {
        auto end = base::BootClock::now() + 15s;
        std::string answer;
        do {
            answer = request(n);
            io.run_for(50ms);
        } while (!answer.starts_with("HTTP/1.1 " + status) && base::BootClock::now() < end);
        return answer;
    }
};

// Guards against callers of a host that has lost its links to the upstreams and refuses what another host could serve.
TEST(RequestRelay, RequestsAtAHostWithoutLinksAreServedByAnother)
{
    start(false);
    start(true);
    CHECK_TRUE(requestUntil(0, "200").ends_with("whole body"));
    auto answer = requestUntil(1, "200");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
    CHECK_TRUE(answer.find("X-Proof: proof\r\n") != std::string::npos);
    CHECK_TRUE(answer.ends_with("whole body"));
    const auto& last = upstream.requests.back();
    CHECK_TRUE(last.starts_with("GET /a/x HTTP/1.1\r\n"));
    CHECK_TRUE(last.find("X-Id: 7\r\n") != std::string::npos);
    CHECK_TRUE(last.find("X-Own: kept\r\n") != std::string::npos);
    CHECK_TRUE(last.find("Relayed") == std::string::npos);
}

// Guards against requests that hosts without links pass on to each other.
TEST(RequestRelay, RequestsAreNotRelayedIfNoHostHasLinks)
{
    start(true);
    start(true);
    auto end = base::BootClock::now() + 8s;
    while (base::BootClock::now() < end)
        CHECK_TRUE(request(1).starts_with("HTTP/1.1 503"));
    LONGS_EQUAL(0, upstream.requests.size());
}

// Guards against a rejection of the other host that is lost, or that a client cannot tell from a failure.
TEST(RequestRelay, RefusalsOfTheOtherHostAreReturnedUnchanged)
{
    start(false);
    start(true);
    requestUntil(0, "200");
    CHECK_TRUE(requestUntil(1, "200").starts_with("HTTP/1.1 200"));
    upstream.behaviour = ScriptedUpstream::Behaviour::Refuse;
    auto answer = request(1);
    CHECK_TRUE(answer.starts_with("HTTP/1.1 503"));
    CHECK_TRUE(answer.find("Retry-After: ") != std::string::npos);
    CHECK_TRUE(request(1, "GET /none").starts_with("HTTP/1.1 404"));
}
