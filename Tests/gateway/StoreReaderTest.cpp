#include "papayabend/gateway/StoreReader.h"

#include "gateway/LoopbackFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(StoreReader)
{
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    tcp::socket store { io };
    PieceSender sender { io };
    PlatformAdapter adapter {};
    std::unique_ptr<StoreReader> reader;
    std::string listed;
    std::string problem;

    void setup() override
    {
        adapter.listTarget = [](std::string_view, std::string_view) { return std::string("/list"); };
        adapter.watchTarget = [](std::string_view, uint64_t, base::Duration) { return std::string("/watch"); };
        adapter.parsePage = [](std::string_view body, base::LastReason&) {
            return std::optional(StorePage { { { std::string(body), "", 1 } }, false, 1 });
        };
        adapter.parseStoreEra = [](const HttpResponse&) { return std::optional<uint64_t>(0); };
        StoreEvents events;
        events.pageReceived = [this](const StorePage& page) { listed = page.items.front().key; };
        events.listCompleted = [](const std::set<std::string>&, uint64_t) {};
        events.regained = [] {};
        events.lost = [this](const std::string& reason) { problem = reason; };
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        reader = std::make_unique<StoreReader>(io, adapter, address, 1, events);
        acceptor.async_accept(store, [](const boost::system::error_code&) {});
        reader->follow(std::nullopt);
    }

    /** Follows the store from revision 5 with an adapter that encodes the arguments of a watch in its target. */
    void watchFromRevision5(StoreEvents events)
    {
        adapter.watchTarget = [](std::string_view, uint64_t revision, base::Duration wait) {
            return "/" + std::to_string(revision) + "/" + std::to_string(base::toMilliseconds(wait));
        };
        adapter.parseEvents = [](std::string_view, base::LastReason&) { return std::optional(StorePage {}); };
        events.regained = [] {};
        events.lost = [this](const std::string& reason) { problem = reason; };
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        reader = std::make_unique<StoreReader>(io, adapter, address, 1, events);
        reader->follow(5);
    }

    /** Returns the target of the next request on \a socket, which is answered with an empty body. */
    std::string answerNextRequest(tcp::socket & socket)
    {
        std::string text;
        bool isEnd = false;
        asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
            [&](const boost::system::error_code&, size_t) { isEnd = true; });
        auto end = base::BootClock::now() + 10s;
        while (!isEnd && base::BootClock::now() < end)
            io.run_for(5ms);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        return text.substr(4, text.find(' ', 4) - 4);
    }

    void runUntilListedOrLost()
    {
        auto end = base::BootClock::now() + 10s;
        while (listed.empty() && problem.empty() && base::BootClock::now() < end)
            io.run_for(20ms);
    }
};

// Guards against asking again from the start while an answer of the store is slow but goes on, as over a busy link.
TEST(StoreReader, AnswerThatMakesProgressIsNotAbandoned)
{
    sender.send(store, { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "aa", "bb", "cc", "dd", "ee", "ff" }, 400ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("", problem.c_str());
    STRCMP_EQUAL("aabbccddeeff", listed.c_str());
}

// Guards against waiting for a store that has stopped in the middle of its answer.
TEST(StoreReader, AnswerThatStopsIsAbandoned)
{
    sender.send(store, { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\naa" }, 1ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("the store did not answer in time", problem.c_str());
}

// Guards against a page of the store that cannot be handled and ends the process, or ends the reading for good.
TEST(StoreReader, ExceptionOfTheHandlerIsAFailedCall)
{
    adapter.parsePage = [](std::string_view body, base::LastReason&) -> std::optional<StorePage> {
        if (body == "bad")
            throw std::length_error("cannot handle it");
        return StorePage { { { "key", "", 1 } }, false, 1 };
    };
    sender.send(store, { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad" }, 1ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("the answer could not be handled", problem.c_str());
    tcp::socket next(io);
    PieceSender nextSender(io);
    acceptor.async_accept(next, [&](const boost::system::error_code&) {
        nextSender.send(next, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\naa" }, 1ms);
    });
    auto end = base::BootClock::now() + 5s;
    while (listed.empty() && base::BootClock::now() < end)
        io.run_for(20ms);
    STRCMP_EQUAL("key", listed.c_str());
}

// Guards against a host that begins to read and confirms its content only when the first watch ends, and against asking
// for changes that other hosts have sent meanwhile.
TEST(StoreReader, FirstWatchIsAnsweredAtOnceAndLaterOnesAsTheHostDecides)
{
    reader->stop();
    store = tcp::socket(io);
    tcp::acceptor next(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::swap(acceptor, next);
    next.close();
    uint64_t applied = 0;
    int unchanged = 0;
    StoreEvents events;
    events.unchanged = [&] { ++unchanged; };
    events.appliedRevision = [&] { return applied; };
    events.watchTime = [] { return base::Duration(1650ms); };
    events.pauseTime = [](bool) { return base::Duration(20ms); };
    watchFromRevision5(events);
    acceptor.accept(store);
    STRCMP_EQUAL("/5/10", answerNextRequest(store).c_str());
    applied = 9;
    STRCMP_EQUAL("/9/1650", answerNextRequest(store).c_str());
    STRCMP_EQUAL("/9/1650", answerNextRequest(store).c_str());
    LONGS_EQUAL(2, unchanged);
    STRCMP_EQUAL("", problem.c_str());
}

// Guards against a length that the store states and never sends.
TEST(StoreReader, StatedLengthReservesNothing)
{
    sender.send(store, { "HTTP/1.1 200 OK\r\nContent-Length: 300000000000000\r\n\r\naa" }, 1ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("the stated length of the answer is above the limit", problem.c_str());
}
