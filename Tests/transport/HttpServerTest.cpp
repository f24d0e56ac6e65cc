#include "papayabend/transport/HttpServer.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <httplib.h>
#include <thread>
#include <vector>

using namespace papayabend;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Returns an address whose port was free a moment ago; start() is repeated if another process has bound it since.
std::string freeAddress()
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}

TEST_GROUP(HttpServer)
{
    settings::HttpServerSettings entry { .threads = 2, .bodyBytes = 256, .bufferBytes = 64 * 1024 };
    std::atomic<size_t> refusals { 0 };
    std::unique_ptr<transport::HttpServer> server;
    std::string address;
    asio::io_context io;

    void start()
    {
        server = std::make_unique<transport::HttpServer>(entry, [this](base::RefusalCode) { ++refusals; });
        server->routes().Post("/echo", [](const httplib::Request& request, httplib::Response& response) {
            response.set_content(request.body, "text/plain");
        });
        do
            address = freeAddress();
        while (!server->start(address));
    }

    tcp::socket connect()
    {
        tcp::socket socket(io);
        auto port = std::stoi(address.substr(address.find(':') + 1));
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
        return socket;
    }

    // Sends the text and returns everything until the server closes the connection.
    std::string exchange(const std::string& text)
    {
        auto socket = connect();
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(text), ec);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ec);
        return answer;
    }

    void checkEcho(const std::string& body)
    {
        httplib::Client client("http://" + address);
        client.set_read_timeout(60);
        auto response = client.Post("/echo", body, "text/plain");
        CHECK(response);
        LONGS_EQUAL(200, response->status);
        STRCMP_EQUAL(body.c_str(), response->body.c_str());
    }
};

// Guards against idle or half-sent connections holding the threads that other callers need.
TEST(HttpServer, AnswersWhileTwoThousandConnectionsAreIdleOrHalfSent)
{
    entry.readTimeout = std::chrono::minutes(1);
    start();
    std::vector<tcp::socket> idle;
    for (size_t n = 0; n < 2000; ++n) {
        idle.push_back(connect());
        if (n % 2)
            asio::write(idle.back(), asio::buffer(std::string("POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\nha")));
    }
    for (size_t n = 0; n < 50; ++n)
        checkEcho("request " + std::to_string(n));
    LONGS_EQUAL(0, refusals.load());
    // A half-sent request still gets its own answer once the rest arrives.
    asio::write(idle[1], asio::buffer(std::string("lf sent")));
    std::array<char, 16> start {};
    asio::read(idle[1], asio::buffer(start));
    STRNCMP_EQUAL("HTTP/1.1 200 OK", start.data(), 15);
}

// Guards against a connection over the limit getting no response, and against the limit being ignored.
TEST(HttpServer, ConnectionsOverTheLimitAreRefused)
{
    entry.connections = 3;
    start();
    std::vector<tcp::socket> open;
    for (size_t n = 0; n < 3; ++n)
        open.push_back(connect());
    auto answer = exchange("");
    STRCMP_CONTAINS("503", answer.c_str());
    STRCMP_CONTAINS("\"overloaded\"", answer.c_str());
    STRCMP_CONTAINS("Retry-After", answer.c_str());
    open.clear();
}

// Guards against a slow client occupying a connection and its buffer forever.
TEST(HttpServer, SlowRequestEndsWithAnError)
{
    entry.readTimeout = std::chrono::milliseconds(50);
    start();
    STRCMP_CONTAINS("HTTP/1.1 408", exchange("POST /echo HTTP/1.1\r\nContent-Le").c_str());
    checkEcho("another caller");
}

// Guards against an idle connection staying open after its client has gone without closing it.
TEST(HttpServer, IdleConnectionIsClosed)
{
    entry.idleTimeout = std::chrono::milliseconds(100);
    start();
    STRCMP_EQUAL("", exchange("").c_str());
}

// Guards against invalid input closing the connection without an error response, or affecting other callers.
TEST(HttpServer, InvalidInputGetsAnErrorResponse)
{
    start();
    auto large = exchange("POST /echo HTTP/1.1\r\nContent-Length: 257\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 413", large.c_str());
    STRCMP_CONTAINS(R"("reason":"body_too_large","verdict":"not_run")", large.c_str());
    STRCMP_CONTAINS("HTTP/1.1 431", exchange(std::string(20'000, 'x')).c_str());
    STRCMP_CONTAINS("HTTP/1.1 411", exchange("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 400", exchange("\x01\xff\r\nnonsense\r\n\r\n").c_str());
    auto unknown = exchange("GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 404", unknown.c_str());
    STRCMP_CONTAINS("\"bad_request\"", unknown.c_str());
    checkEcho("another caller");
}

// Guards against pipelined requests being answered out of order, which would swap answers.
TEST(HttpServer, PipelinedRequestsAreAnsweredInOrder)
{
    start();
    std::string text;
    for (auto n : { 1, 2, 3 })
        text += "POST /echo HTTP/1.1\r\n" + std::string(n == 3 ? "Connection: close\r\n" : "")
            + "Content-Length: 2\r\n\r\n#" + std::to_string(n);
    auto answer = exchange(text);
    auto first = answer.find("#1");
    auto second = answer.find("#2", first);
    CHECK(first != std::string::npos && second != std::string::npos);
    CHECK(answer.find("#3", second) != std::string::npos);
}

// Guards against the queue of complete requests growing without bound while all threads are busy.
TEST(HttpServer, RequestsOverTheQueueLimitAreRefused)
{
    entry.threads = 1;
    entry.queuedRequests = 1;
    server = std::make_unique<transport::HttpServer>(entry, [this](base::RefusalCode) { ++refusals; });
    std::atomic<bool> isReleased { false };
    server->routes().Get("/wait", [&](const httplib::Request&, httplib::Response&) {
        while (!isReleased)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    do
        address = freeAddress();
    while (!server->start(address));
    std::vector<tcp::socket> sockets;
    while (refusals == 0) {
        sockets.push_back(connect());
        asio::write(sockets.back(), asio::buffer(std::string("GET /wait HTTP/1.1\r\n\r\n")));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(server->waitingRequests() <= 1);
    isReleased = true;
    server->stop();
}

// Guards against a client that waits for "100 Continue" before it sends its body and never gets it.
TEST(HttpServer, ContinueResponseIsSentOnce)
{
    start();
    auto socket = connect();
    asio::write(socket,
        asio::buffer(std::string(
            "POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 4\r\n\r\n")));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", answer.c_str());
    for (const auto* text : { "bo", "dy" })
        asio::write(socket, asio::buffer(std::string(text)));
    answer.clear();
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    STRNCMP_EQUAL("HTTP/1.1 200 OK", answer.c_str(), 15);
}

// Guards against a body size limit that depends on the Content-Type of the request.
TEST(HttpServer, BodyLimitAppliesToEveryContentType)
{
    entry.bodyBytes = 60'000;
    start();
    auto body = std::string(50'000, '[');
    auto answer = exchange("POST /echo HTTP/1.1\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                           "Connection: close\r\nContent-Length: 50000\r\n\r\n"
        + body);
    STRNCMP_EQUAL("HTTP/1.1 200 OK", answer.c_str(), 15);
}
