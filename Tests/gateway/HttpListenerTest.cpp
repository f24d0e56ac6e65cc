#include "papayabend/gateway/HttpListener.h"

#include "gateway/LoopbackFixture.h"
#include "papayabend/gateway/Address.h"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(HttpListener)
{
    asio::io_context io;
    std::string address;
    std::unique_ptr<HttpListener> listener;
    std::vector<std::string> bodies;
    std::vector<dispatch::CallerPath> paths;
    std::shared_ptr<ClientRequest> held;
    bool holds { false };

    void setup() override
    {
        listener = std::make_unique<HttpListener>(io, [this](const std::shared_ptr<ClientRequest>& request) {
            paths.push_back(request->path);
            bodies.push_back(std::string(request->message.target()) + ' ' + request->message.body());
            if (holds) {
                held = request;
                return;
            }
            Answer answer;
            answer.status = 200;
            answer.body = request->message.body();
            request->answer(answer);
        });
        listener->setLimits({ .headerBytes = 1024, .bodyBytes = 64, .headerTimeout = 200ms, .idleTimeout = 300ms });
        do
            address = freeAddress();
        while (!listener->start(address));
    }

    tcp::socket connect()
    {
        tcp::socket socket(io);
        socket.connect(*tcpEndpoint(address));
        return socket;
    }

    // Runs the loop until the listener has closed the connection; returns what it sent.
    std::string readToEnd(tcp::socket & socket)
    {
        std::string text;
        bool isDone = false;
        asio::async_read(socket, asio::dynamic_buffer(text), [&](auto, auto) { isDone = true; });
        while (!isDone)
            io.run_one();
        return text;
    }

    std::string exchange(const std::string& text)
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(text));
        return readToEnd(socket);
    }
};

// Guards against pipelined requests that are lost or answered out of order.
TEST(HttpListener, PipelinedRequestsAreAnsweredInOrder)
{
    auto answer = exchange("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
                           "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
                           "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    LONGS_EQUAL(3, bodies.size());
    STRCMP_EQUAL("/2 two", bodies[1].c_str());
    CHECK_TRUE(answer.find("one") < answer.find("two"));
    CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
}

// Guards against request smuggling: a second request hidden in the body of the first by ambiguous length fields.
TEST(HttpListener, AmbiguousFramingIsRefused)
{
    auto answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 400 "));
    answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 400 "));
    CHECK_TRUE(bodies.empty());
}

// Guards against accepting bodies or headers above the limits, or input that is not HTTP.
TEST(HttpListener, OversizedAndInvalidRequestsAreRefused)
{
    CHECK_TRUE(exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n").starts_with("HTTP/1.1 413 "));
    CHECK_TRUE(exchange("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x')).starts_with("HTTP/1.1 431 "));
    CHECK_TRUE(exchange("\x16\x03\x01 hello\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

// Guards against clients that hold connections open without sending a complete header.
TEST(HttpListener, IncompleteHeaderTimesOut)
{
    CHECK_TRUE(exchange("GET /a HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408 "));
    CHECK_TRUE(exchange("").empty());
}

// Guards against clients that wait forever for 100 Continue before they send their body.
TEST(HttpListener, ExpectedContinueIsSent)
{
    auto socket = connect();
    asio::write(socket,
        asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\n"
                                 "Content-Length: 2\r\n\r\n")));
    while (socket.available() == 0)
        io.run_one_for(10ms);
    asio::write(socket, asio::buffer(std::string("ok")));
    auto answer = readToEnd(socket);
    CHECK_TRUE(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"));
}

// Guards against work that goes on unnoticed after its client has disconnected, and against a late answer that has an
// effect then.
TEST(HttpListener, DisconnectOfTheClientIsReported)
{
    holds = true;
    bool hasLeft = false;
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
        while (!held)
            io.run_one();
        held->onClientLeft = [&] { hasLeft = true; };
        LONGS_EQUAL(1, listener->openRequests());
    }
    while (!hasLeft)
        io.run_one();
    LONGS_EQUAL(0, listener->openRequests());
    held->answer({});
    LONGS_EQUAL(0, listener->openConnections());
}

// Guards against clients that keep their connections to a host that is stopping.
TEST(HttpListener, ConnectionClosesAfterItsAnswerOnceCloseIsAnnounced)
{
    listener->announceClose();
    auto answer = exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
}

// Guards against a planned stop that takes a host for idle, and ends, while a client has not received its answer or has
// sent a part of its request.
TEST(HttpListener, ConnectionIsBusyUntilItsAnswerIsReceived)
{
    LONGS_EQUAL(0, listener->busyConnections());
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no")));
    while (listener->busyConnections() == 0)
        io.run_one();
    LONGS_EQUAL(0, listener->openRequests());
    holds = true;
    asio::write(socket, asio::buffer(std::string("k")));
    while (!held)
        io.run_one();
    Answer answer;
    answer.status = 200;
    answer.body = std::string(64 * 1024 * 1024, 'x'); // more than the buffers of a connection hold
    held->answer(answer);
    LONGS_EQUAL(0, listener->openRequests());
    LONGS_EQUAL(1, listener->busyConnections());
}

// Guards against a host that ends without an answer to a request that arrives slowly.
TEST(HttpListener, IncompleteRequestsAreRefusedAsNotRun)
{
    auto idle = connect();
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no")));
    while (listener->busyConnections() == 0)
        io.run_one();
    listener->refuseIncompleteRequests("stopping");
    auto answer = readToEnd(socket);
    CHECK_TRUE(answer.starts_with("HTTP/1.1 503 "));
    CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
    CHECK_TRUE(bodies.empty());
}

// Guards against a host that takes each request for one on a kept connection, or does not learn the round trip, and
// answers later than its caller can bear.
TEST(HttpListener, RequestsCarryThePathOfTheirConnection)
{
    exchange("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    LONGS_EQUAL(2, paths.size());
    CHECK_TRUE(paths[0].isNewConnection);
    CHECK_FALSE(paths[1].isNewConnection);
    CHECK_TRUE(paths[0].roundTrip > 0us);
    CHECK_TRUE(paths[0].roundTrip < 1s);
}

// Guards against a length that a client states and never sends: it must reserve no memory, and bodies above the limit
// must be refused also if a part of them comes together with the header.
TEST(HttpListener, StatedLengthReservesNothing)
{
    for (const auto* length : { "65", "300000000000000", "18446744073709551615" }) {
        auto head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::string(length) + "\r\n\r\n";
        CHECK_TRUE(exchange(head + "part").starts_with("HTTP/1.1 413 "));
        CHECK_TRUE(exchange(head + std::string(65, 'x')).starts_with("HTTP/1.1 413 "));
    }
    for (const auto* size : { "41", "110d9316ec000", "ffffffffffffffff" }) {
        auto head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n";
        CHECK_TRUE(exchange(head + std::string(65, 'x') + "\r\n").starts_with("HTTP/1.1 413 "));
    }
    CHECK_TRUE(bodies.empty());
}

// Guards against an exception of the handler of a request that ends the process, with the requests of other clients.
TEST(HttpListener, ExceptionOfTheHandlerEndsItsConnection)
{
    auto faults = std::make_shared<MessageFaults>();
    listener = std::make_unique<HttpListener>(
        io,
        [](const std::shared_ptr<ClientRequest>& request) {
            if (request->message.target() == "/bad")
                throw std::runtime_error("cannot handle it");
            request->answer({ .status = 200 });
        },
        faults);
    do
        address = freeAddress();
    while (!listener->start(address));
    auto other = connect();
    STRCMP_EQUAL("", exchange("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
    // The second request on a connection is handled by another path than the first.
    auto answer = exchange("GET /good HTTP/1.1\r\nHost: h\r\n\r\nGET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200 "));
    LONGS_EQUAL(2, faults->count());
    LONGS_EQUAL(0, listener->openRequests());
    asio::write(other, asio::buffer(std::string("GET /good HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    CHECK_TRUE(readToEnd(other).starts_with("HTTP/1.1 200 "));
}

TEST_GROUP(HttpListenerMemory)
{
    static constexpr size_t clients = 60;

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    std::shared_ptr<BufferBudget> budget { std::make_shared<BufferBudget>() };
    std::string address;
    std::unique_ptr<HttpListener> listener;
    std::vector<tcp::socket> sockets;
    std::vector<std::shared_ptr<ClientRequest>> held;
    uint64_t peakBytes { 0 };

    void setup() override
    {
        budget->maxBytes = 400'000;
        budget->hardMaxBytes = 600'000;
        budget->smallBytes = 10'000;
        listener = std::make_unique<HttpListener>(
            io,
            [this](const std::shared_ptr<ClientRequest>& request) {
                if (request->message.target() == "/held")
                    return held.push_back(request);
                request->answer(
                    { .status = 200, .body = std::string(request->message.target() == "/large" ? 4'000'000 : 2, 'x') });
            },
            nullptr, budget);
        listener->setLimits({ .headerBytes = 16'384, .bodyBytes = 65'536, .headerTimeout = 5s, .idleTimeout = 5s });
        do
            address = freeAddress();
        while (!listener->start(address));
    }

    // Runs until the condition holds, for 10 s at most; returns whether it does.
    bool runUntil(const std::function<bool()>& condition)
    {
        auto end = base::BootClock::now() + 10s;
        auto holds = condition();
        while (!holds && base::BootClock::now() < end) {
            io.run_one_for(5ms);
            peakBytes = std::max(peakBytes, budget->bytes);
            holds = condition();
        }
        return holds;
    }

    void runFor(std::chrono::milliseconds time)
    {
        auto end = base::BootClock::now() + time;
        runUntil([end] { return base::BootClock::now() >= end; });
    }

    tcp::socket& sendOnNewConnection(const std::string& text)
    {
        auto& socket = sockets.emplace_back(io);
        socket.connect(*tcpEndpoint(address));
        socket.non_blocking(true);
        boost::system::error_code ec;
        socket.write_some(asio::buffer(text), ec);
        runFor(2ms);
        return socket;
    }

    // Returns the first bytes that come on a connection.
    std::string answerOn(tcp::socket & socket)
    {
        std::string text(4096, '\0');
        size_t n = 0;
        runUntil([&] {
            boost::system::error_code ec;
            n = socket.read_some(asio::buffer(text), ec);
            return n > 0 || ec != asio::error::would_block;
        });
        return text.substr(0, n);
    }

    void checkThatOthersAreServed()
    {
        CHECK_TRUE(runUntil([this] { return budget->revoked > 0; }));
        auto& other = sendOnNewConnection("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_TRUE(answerOn(other).starts_with("HTTP/1.1 200 "));
        CHECK_TRUE(peakBytes <= budget->hardMaxBytes);
        held.clear();
        sockets.clear();
        listener.reset();
        CHECK_TRUE(runUntil([this] { return budget->holds == 0; }));
        LONGS_EQUAL(0, budget->bytes);
    }
};

// Guards against clients that together fill the memory with bodies that they never end.
TEST(HttpListenerMemory, UnfinishedBodiesAreBounded)
{
    auto head = std::string("POST /small HTTP/1.1\r\nHost: h\r\n");
    auto body = std::string(60'000, 'x');
    for (size_t n = 0; n < clients; ++n)
        sendOnNewConnection(
            head + (n % 2 ? "Content-Length: 65000\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\nfde8\r\n") + body);
    CHECK_TRUE(answerOn(sockets.front()).starts_with("HTTP/1.1 503 "));
    checkThatOthersAreServed();
}

// Guards against the same with headers.
TEST(HttpListenerMemory, UnfinishedHeadersAreBounded)
{
    for (size_t n = 0; n < clients; ++n)
        sendOnNewConnection("GET /small HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(16'000, 'x'));
    checkThatOthersAreServed();
}

// Guards against input that clients send ahead while their requests are handled, which no parser has taken.
TEST(HttpListenerMemory, InputBehindARequestIsBounded)
{
    for (size_t n = 0; n < clients; ++n)
        sendOnNewConnection("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(60'000, 'x'));
    CHECK_TRUE(runUntil([this] { return held.size() == clients && budget->revoked > 0; }));
    // Requests whose connection has given up the input behind them are still answered.
    for (const auto& request : held)
        request->answer({ .status = 200 });
    for (auto& socket : sockets)
        CHECK_TRUE(answerOn(socket).starts_with("HTTP/1.1 200 "));
    checkThatOthersAreServed();
}

// Guards against complete requests whose handling takes long: they are not dropped, and further ones are refused.
TEST(HttpListenerMemory, RequestsInHandlingAreBounded)
{
    for (size_t n = 0; n < clients; ++n)
        sendOnNewConnection(
            "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'x'));
    CHECK_TRUE(runUntil([this] { return held.size() >= 5 && budget->revoked > 0; }));
    CHECK_TRUE(held.size() < clients);
    checkThatOthersAreServed();
}

// Guards against clients that do not read their answers.
TEST(HttpListenerMemory, AnswersThatAreNotReadAreBounded)
{
    budget->maxBytes = 10'000'000;
    budget->hardMaxBytes = 12'000'000;
    for (size_t n = 0; n < 20; ++n)
        sendOnNewConnection("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    checkThatOthersAreServed();
}
