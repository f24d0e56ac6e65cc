#include "papayabend/gateway/HttpCall.h"

#include "gateway/LoopbackFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(HttpCall)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    std::shared_ptr<BufferBudget> budget { std::make_shared<BufferBudget>() };
    std::shared_ptr<HttpConnection> connection;
    std::unique_ptr<tcp::socket> upstream;

    void setup() override { reconnect(); }

    void reconnect()
    {
        if (connection)
            connection->close("the next case of the test");
        connection = std::make_shared<HttpConnection>(io, budget);
        std::optional<std::string> problem;
        connection->open(acceptor.local_endpoint(), [&](const std::string& text) { problem = text; });
        upstream = std::make_unique<tcp::socket>(acceptor.accept());
        io.restart();
        while (!problem)
            io.run_one();
        STRCMP_EQUAL("", problem->c_str());
    }

    // Sends a request; the upstream answers with the start and then with the block again and again until the connection
    // is closed, for four times the longest answer at most. Returns the number of bytes that it could send.
    size_t bytesTakenOf(const std::string& start, const std::string& block)
    {
        bool hasEnded = false;
        connection->send("GET / HTTP/1.1\r\n\r\n", "X-Id", "7", false, [&](const CallResult&) { hasEnded = true; });
        asio::write(*upstream, asio::buffer(start));
        upstream->non_blocking(true);
        size_t sent = 0;
        boost::system::error_code ec;
        while (!hasEnded && sent < 4 * HttpConnection::maxAnswerBytes) {
            auto n = upstream->write_some(asio::buffer(block) + sent % block.size(), ec);
            if (ec && ec != asio::error::would_block)
                break;
            sent += ec ? 0 : n;
            io.poll();
        }
        return sent;
    }

    void teardown() override
    {
        connection->close("end of the test");
        connection.reset();
    }

    // Sends a request with the id 7; the upstream answers with the text, before the request if isAnsweredFirst, and
    // closes the connection if ends.
    CallResult call(const std::string& text, bool ends = false, bool isAnsweredFirst = false)
    {
        std::optional<CallResult> result;
        if (isAnsweredFirst) {
            asio::write(*upstream, asio::buffer(text));
            io.run_for(5ms);
        }
        if (!connection->isIdle())
            return {};
        connection->send("GET / HTTP/1.1\r\n\r\n", "X-Id", "7", false, [&](CallResult it) { result = std::move(it); });
        if (!isAnsweredFirst)
            asio::write(*upstream, asio::buffer(text));
        if (ends)
            upstream->shutdown(tcp::socket::shutdown_both);
        while (!result)
            io.run_one();
        return std::move(*result);
    }
};

// Guards against rejecting a valid answer, and against closing the connection after it.
TEST(HttpCall, ConnectionIsReusedAfterAnAnswer)
{
    for (int n = 0; n < 3; ++n) {
        auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
        CHECK_TRUE(result.end == CallEnd::Answered);
        STRCMP_EQUAL("ok", result.answer.body().c_str());
        CHECK_TRUE(connection->isIdle() && connection->hasAnswered());
    }
}

// Guards against returning the late answer to an earlier request as the answer to the next one.
TEST(HttpCall, AnswerToAnotherRequestIsSkipped)
{
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"
                       "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nnew");
    STRCMP_EQUAL("new", result.answer.body().c_str());
    CHECK_FALSE(connection->isOpen());
}

// Guards against reading bytes that follow an answer as the answer to the next request.
TEST(HttpCall, BytesAfterAnAnswerCloseTheConnection)
{
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    STRCMP_EQUAL("ok", result.answer.body().c_str());
    CHECK_FALSE(connection->isOpen());
}

// Guards against reading bytes that arrive on an idle connection as the answer to the next request.
TEST(HttpCall, InputWhileIdleClosesTheConnection)
{
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, true).end == CallEnd::NotSent);
    CHECK_FALSE(connection->isOpen());
}

// Guards against reporting an answer as complete although the connection ended in its body.
TEST(HttpCall, TruncatedAnswerIsLost)
{
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 20\r\n\r\ncut", true);
    CHECK_TRUE(result.end == CallEnd::Lost);
    CHECK_TRUE(result.hadAnswerBytes);
}

// Guards against rejecting an answer without Content-Length, whose body ends with the connection.
TEST(HttpCall, AnswerWithoutALengthEndsWithTheConnection)
{
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it", true);
    CHECK_TRUE(result.end == CallEnd::Answered);
    STRCMP_EQUAL("all of it", result.answer.body().c_str());
    CHECK_FALSE(connection->isOpen());
}

// Guards against accepting input that is not HTTP as an answer.
TEST(HttpCall, InputThatIsNotHttpIsGarbled)
{
    auto result = call("SSH-2.0-server\r\n\r\n");
    CHECK_TRUE(result.end == CallEnd::Garbled);
    CHECK_FALSE(connection->isOpen());
}

// Guards against returning an interim answer (1xx) as the final one.
TEST(HttpCall, InterimAnswerIsSkipped)
{
    auto result = call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
    STRCMP_EQUAL("ok", result.answer.body().c_str());
    CHECK_TRUE(connection->isIdle());
}

// Guards against reusing a connection that the peer is about to close: its Keep-Alive timeout less a margin, and its
// Connection: close, must be respected.
TEST(HttpCall, IdleLimitOfThePeerIsRespected)
{
    auto before = base::BootClock::now();
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: timeout=5, max=9\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(connection->idleUntil().has_value());
    CHECK_TRUE(*connection->idleUntil() < before + 5s && *connection->idleUntil() > before + 4s);
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(connection->isOpen());
}

// Guards against reporting a request as not sent if its connection is closed after it was sent.
TEST(HttpCall, RequestInFlightIsLostWhenTheConnectionIsClosed)
{
    std::optional<CallResult> result;
    connection->send("GET / HTTP/1.1\r\n\r\n", {}, {}, false, [&](CallResult it) { result = std::move(it); });
    connection->close("the client has left");
    CHECK_TRUE(result->end == CallEnd::Lost);
    STRCMP_EQUAL("the client has left", result->reason.c_str());
}

// Guards against an answer whose head is broken off and that is returned as a complete one with an empty or short body.
TEST(HttpCall, AnswerBrokenOffInItsHeadIsNotComplete)
{
    std::string whole = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok";
    std::string chunked = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    for (const auto& text : { whole, chunked }) {
        for (size_t n = 1; n < text.size(); ++n) {
            reconnect();
            CHECK_FALSE(call(text.substr(0, n), true).end == CallEnd::Answered);
        }
        reconnect();
        CHECK_TRUE(call(text, true).end == CallEnd::Answered);
    }
}

// Guards against an upstream whose bytes never end: they must not fill the memory, whatever part of an answer they are.
TEST(HttpCall, BytesWithoutEndCloseTheConnection)
{
    std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    const std::pair<std::string, std::string> endless[] = {
        { "", "a" },
        { "HTTP/1.1 200 ", "O" },
        { head + "X-Long: ", "a" },
        { head, "X-Many: a\r\n" },
        { head + "\r\n", "body" },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n2;", "extension" },
        { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n" },
    };
    for (const auto& [start, repeated] : endless) {
        reconnect();
        std::string block;
        while (block.size() < 256 * 1024)
            block += repeated;
        CHECK_TRUE(bytesTakenOf(start, block) <= HttpConnection::maxAnswerBytes + 8 * 1024 * 1024);
    }
}

// Guards against several upstreams whose bytes never end, which together would fill the memory of the host, and against
// giving up small answers or keeping the budget used up because of them.
TEST(HttpCall, LargeUnfinishedAnswersAreGivenUpWhenTheSharedBudgetIsUsedUp)
{
    std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";
    budget->maxBytes = 1024 * 1024;
    CHECK_TRUE(bytesTakenOf(head, std::string(64 * 1024, 'x')) < HttpConnection::maxAnswerBytes);
    LONGS_EQUAL(0, budget->bytes);
    budget->bytes = budget->maxBytes;
    reconnect();
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok").end == CallEnd::Answered);
    LONGS_EQUAL(budget->maxBytes, budget->bytes);
}

// Guards against a length that an upstream states and never sends: it must reserve no memory, neither above the limit
// of an answer nor below it, and end no more than its connection.
TEST(HttpCall, StatedLengthReservesNothing)
{
    std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
    for (const auto* length : { "300000000000000", "9223372036854775807", "18446744073709551615" }) {
        reconnect();
        CHECK_TRUE(call(head + "Content-Length: " + length + "\r\n\r\npart").end == CallEnd::Garbled);
        CHECK_FALSE(connection->isOpen());
    }
    for (const auto* size : { "110d9316ec000", "7fffffffffffffff", "ffffffffffffffff" }) {
        reconnect();
        CHECK_TRUE(call(head + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\npart").end == CallEnd::Garbled);
        CHECK_FALSE(connection->isOpen());
    }
    http::response_parser<HttpResponse::body_type> parser;
    parser.eager(true);
    parser.body_limit(HttpConnection::maxAnswerBytes);
    auto text = head + "Content-Length: 16000000\r\n\r\npart";
    boost::system::error_code ec;
    parser.put(asio::buffer(text), ec);
    STRCMP_EQUAL("part", parser.get().body().c_str());
    CHECK_TRUE(parser.get().body().capacity() < 1000);
}

// Guards against an exception of the handler of an answer that ends the process instead of its connection.
TEST(HttpCall, ExceptionOfTheHandlerEndsItsConnection)
{
    auto faults = std::make_shared<MessageFaults>();
    std::string reported;
    faults->setReport([&](std::string_view source, std::string_view reason) {
        reported = std::string(source) + ": " + std::string(reason);
    });
    connection = std::make_shared<HttpConnection>(io, budget, faults);
    connection->open(acceptor.local_endpoint(), [](const std::string&) {});
    upstream = std::make_unique<tcp::socket>(acceptor.accept());
    while (!connection->isOpen())
        io.run_one();
    connection->send("GET / HTTP/1.1\r\n\r\n", "X-Id", "7", false,
        [](const CallResult&) { throw std::runtime_error("cannot handle it"); });
    asio::write(*upstream, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")));
    while (connection->isOpen())
        io.run_one();
    LONGS_EQUAL(1, faults->count());
    STRCMP_EQUAL("answer: cannot handle it", reported.c_str());
}

// Guards against an idle limit so long that it lies before the present once it is added to it.
TEST(HttpCall, IdleLimitWithoutBoundIsNotInThePast)
{
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: timeout=18446744073709551615\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(connection->idleUntil().value() > base::BootClock::now());
}

// Guards against an answer without the id of its request, of which a repetition would be taken for the answer to the
// next request on the connection.
TEST(HttpCall, AnswerWithoutAnIdClosesItsConnection)
{
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").end == CallEnd::Answered);
    CHECK_FALSE(connection->isOpen());
    reconnect();
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Id: 6\r\nContent-Length: 3\r\n\r\nold"
                       "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nnew");
    STRCMP_EQUAL("new", result.answer.body().c_str());
}

// Guards against a copy of an earlier answer that has lost its id, comes while the next request is in flight, and is
// taken for the answer to it: a copied rejection would prove that a request has not run which then runs.
TEST(HttpCall, AnswerWithoutAnIdAfterOneWithAnIdIsNotTaken)
{
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(connection->isIdle());
    CHECK_TRUE(call("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").end == CallEnd::Garbled);
    CHECK_FALSE(connection->isOpen());
    reconnect();
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\n\r\nends", true).end == CallEnd::Garbled);
}

// Guards against an upstream whose answers to requests without an id are refused because it has answered others.
TEST(HttpCall, RequestWithoutAnIdTakesAnAnswerWithoutOne)
{
    call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok");
    std::optional<CallResult> result;
    connection->send("GET / HTTP/1.1\r\n\r\n", "X-Id", "", false, [&](CallResult it) { result = std::move(it); });
    asio::write(*upstream, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    while (!result)
        io.run_one();
    CHECK_TRUE(result->end == CallEnd::Answered);
}

// Guards against many upstreams whose answers never end, or that do not read their requests, and which together fill
// the memory of the host; other answers must be received meanwhile.
TEST(HttpCall, UnfinishedMessagesOfManyConnectionsAreBounded)
{
    constexpr size_t count = 40;
    budget->maxBytes = 1'000'000;
    budget->hardMaxBytes = 1'500'000;
    uint64_t peakBytes = 0;
    size_t ended = 0;
    std::vector<std::shared_ptr<HttpConnection>> connections;
    std::vector<tcp::socket> upstreams;
    for (size_t n = 0; n < count; ++n) {
        auto& added = connections.emplace_back(std::make_shared<HttpConnection>(io, budget));
        added->open(acceptor.local_endpoint(), [](const std::string&) {});
        upstreams.push_back(acceptor.accept());
        while (!added->isOpen())
            io.run_one();
    }
    auto run = [&] {
        for (int n = 0; n < 200; ++n) {
            io.poll_one();
            peakBytes = std::max(peakBytes, budget->bytes);
        }
    };
    for (size_t n = 0; n < count; ++n) {
        auto isUnread = n % 2 == 0;
        auto body = std::string(isUnread ? 8'000'000 : 0, 'x');
        connections[n]->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            "X-Id", "7", false, [&](const CallResult&) { ++ended; });
        run();
        boost::system::error_code ec;
        upstreams[n].non_blocking(true);
        if (!isUnread)
            upstreams[n].write_some(asio::buffer("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n" + std::string(120'000, 'x')), ec);
        run();
    }
    CHECK_TRUE(peakBytes <= budget->hardMaxBytes);
    CHECK_TRUE(ended > count / 2 && ended < count);
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok").end == CallEnd::Answered);
    for (const auto& it : connections)
        it->close("end of the test");
    io.poll();
    LONGS_EQUAL(0, budget->bytes);
}

// Guards against complete answers that are kept and no longer counted, for example until a fan-out is merged.
TEST(HttpCall, AnswersThatAreKeptAreCounted)
{
    auto result = call("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'));
    CHECK_TRUE(budget->bytes >= 5000);
    result = {};
    LONGS_EQUAL(0, budget->bytes);
    LONGS_EQUAL(0, budget->holds);
}

// Guards against a status that does not exist, which the client gets as an answer, or which is skipped like an interim
// answer, so that the request waits until its deadline.
TEST(HttpCall, AnswerWithAStatusOutsideOfHttpEndsTheAttempt)
{
    for (const auto* status : { "000", "007", "099", "600", "999" }) {
        reconnect();
        auto result = std::make_shared<std::optional<CallResult>>();
        connection->send(
            "GET / HTTP/1.1\r\n\r\n", "X-Id", "7", false, [result](CallResult it) { *result = std::move(it); });
        asio::write(*upstream,
            asio::buffer(
                "HTTP/1.1 " + std::string(status) + " X\r\nX-Id: 7\r\nX-Proof: 1\r\nContent-Length: 2\r\n\r\nok"));
        auto end = base::BootClock::now() + 2s;
        while (!*result && base::BootClock::now() < end)
            io.run_for(5ms);
        CHECK_TRUE(result->has_value());
        CHECK_TRUE((*result)->end == CallEnd::Garbled);
        CHECK_FALSE(connection->isOpen());
    }
}
