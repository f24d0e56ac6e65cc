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
    std::vector<base::StorePosition> lists;

    void setup() override
    {
        adapter.listTarget = [](std::string_view, std::string_view) { return std::string("/list"); };
        adapter.watchTarget = [](std::string_view, uint64_t, base::Duration) { return std::string("/watch"); };
        adapter.parsePage = [](std::string_view body, base::LastReason&) {
            return std::optional(StorePage { { { std::string(body), "", 1 } }, false, 1 });
        };
        adapter.parseStoreEra = [](const HttpResponse& answer) { return parseNumber(toView(answer["Era"])); };
        StoreEvents events;
        events.listReceived = [this](const StoreList& list) { listed = list.items.front().key; };
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
        adapter.listTarget = [](std::string_view, std::string_view after) { return "/list" + std::string(after); };
        adapter.parsePage = [](std::string_view, base::LastReason&) {
            return std::optional(StorePage { { { "key", "", 2 } }, false, 3 });
        };
        events.listReceived = [this](const StoreList& list) { lists.push_back(list.position); };
        events.regained = [] {};
        events.lost = [this](const std::string& reason) { problem = reason; };
        auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        reader = std::make_unique<StoreReader>(io, adapter, address, 1, events);
        reader->follow(base::StorePosition { 0, 5 });
    }

    void replaceStore()
    {
        reader->stop();
        store = tcp::socket(io);
        tcp::acceptor next(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::swap(acceptor, next);
        next.close();
    }

    /** Returns the target of the next request on \a socket, which is answered with an empty body. */
    std::string answerNextRequest(tcp::socket & socket, const std::string& status = "200 OK", int era = 0)
    {
        std::string text;
        bool isEnd = false;
        asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
            [&](const boost::system::error_code&, size_t) { isEnd = true; });
        auto end = base::BootClock::now() + 10s;
        while (!isEnd && base::BootClock::now() < end)
            io.run_for(5ms);
        asio::write(socket,
            asio::buffer("HTTP/1.1 " + status + "\r\nEra: " + std::to_string(era) + "\r\nContent-Length: 0\r\n\r\n"));
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
    sender.send(store,
        { "HTTP/1.1 200 OK\r\nEra: 0\r\nContent-Length: 12\r\n\r\n", "aa", "bb", "cc", "dd", "ee", "ff" }, 400ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("", problem.c_str());
    STRCMP_EQUAL("aabbccddeeff", listed.c_str());
}

// Guards against waiting for a store that has stopped in the middle of its answer.
TEST(StoreReader, AnswerThatStopsIsAbandoned)
{
    sender.send(store, { "HTTP/1.1 200 OK\r\nEra: 0\r\nContent-Length: 12\r\n\r\naa" }, 1ms);
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
    sender.send(store, { "HTTP/1.1 200 OK\r\nEra: 0\r\nContent-Length: 3\r\n\r\nbad" }, 1ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("the answer could not be handled", problem.c_str());
    tcp::socket next(io);
    PieceSender nextSender(io);
    acceptor.async_accept(next, [&](const boost::system::error_code&) {
        nextSender.send(next, { "HTTP/1.1 200 OK\r\nEra: 0\r\nContent-Length: 2\r\n\r\naa" }, 1ms);
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
    replaceStore();
    uint64_t applied = 0;
    int unchanged = 0;
    StoreEvents events;
    events.unchanged = [&] { ++unchanged; };
    events.appliedPosition = [&] { return base::StorePosition { 0, applied }; };
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
    sender.send(store, { "HTTP/1.1 200 OK\r\nEra: 0\r\nContent-Length: 300000000000000\r\n\r\naa" }, 1ms);
    runUntilListedOrLost();
    STRCMP_EQUAL("the stated length of the answer is above the limit", problem.c_str());
}

// Guards against changes of a later era that are taken for changes after a revision of the earlier one.
TEST(StoreReader, LaterEraIsListedBeforeItIsWatched)
{
    replaceStore();
    int changes = 0;
    StoreEvents events;
    events.unchanged = [&] { ++changes; };
    events.pauseTime = [](bool) { return base::Duration(20ms); };
    watchFromRevision5(events);
    acceptor.accept(store);
    STRCMP_EQUAL("/5/10", answerNextRequest(store, "200 OK", 1).c_str());
    STRCMP_EQUAL("/list", answerNextRequest(store, "200 OK", 1).c_str());
    STRCMP_EQUAL("/3/10", answerNextRequest(store, "200 OK", 1).c_str());
    STRCMP_EQUAL("/3/3000", answerNextRequest(store, "200 OK", 1).c_str());
    LONGS_EQUAL(1, changes);
    LONGS_EQUAL(1, lists.size());
    CHECK_TRUE((lists.front() == base::StorePosition { 1, 3 }));
    STRCMP_EQUAL("", problem.c_str());
}

// Guards against a list whose pages are of two eras.
TEST(StoreReader, ListIsBegunAgainIfTheEraChangesBetweenItsPages)
{
    replaceStore();
    watchFromRevision5({});
    adapter.parsePage = [](std::string_view, base::LastReason&) {
        return std::optional(StorePage { { { "key", "", 2 } }, true, 3 });
    };
    acceptor.accept(store);
    answerNextRequest(store, "410 Gone");
    STRCMP_EQUAL("/list", answerNextRequest(store).c_str());
    STRCMP_EQUAL("/listkey", answerNextRequest(store, "200 OK", 1).c_str());
    STRCMP_EQUAL("/list", answerNextRequest(store, "200 OK", 1).c_str());
    STRCMP_EQUAL("/listkey", answerNextRequest(store, "200 OK", 1).c_str());
    LONGS_EQUAL(0, lists.size());
}

// Guards against an answer that was sent before the store returned and is read after other hosts have told of the later
// era.
TEST(StoreReader, AnswerOfAnEarlierEraIsAFailedCall)
{
    replaceStore();
    int changes = 0;
    StoreEvents events;
    events.unchanged = [&] { ++changes; };
    events.appliedPosition = [] { return base::StorePosition { 2, 4 }; };
    watchFromRevision5(events);
    acceptor.accept(store);
    STRCMP_EQUAL("/4/10", answerNextRequest(store, "200 OK", 1).c_str());
    auto end = base::BootClock::now() + 10s;
    while (problem.empty() && base::BootClock::now() < end)
        io.run_for(5ms);
    STRCMP_EQUAL("an answer of era 1 came after one of era 2", problem.c_str());
    LONGS_EQUAL(0, changes);
}

// Guards against lists without a pause from a store that has no changes after the list that it has just given.
TEST(StoreReader, StoreWithoutChangesAfterItsListIsAskedAgainAfterAPause)
{
    replaceStore();
    watchFromRevision5({});
    acceptor.accept(store);
    STRCMP_EQUAL("/5/10", answerNextRequest(store, "410 Gone").c_str());
    STRCMP_EQUAL("/list", answerNextRequest(store).c_str());
    answerNextRequest(store, "410 Gone");
    auto end = base::BootClock::now() + 10s;
    while (problem.empty() && base::BootClock::now() < end)
        io.run_for(5ms);
    STRCMP_EQUAL("the store has no changes after its list", problem.c_str());
}
