#include "papayabend/gateway/RequestReader.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;

using Result = RequestReader::Result;

TEST_GROUP(RequestReader)
{
    RequestReader reader;
    RequestLimits limits { .headerBytes = 1024, .bodyBytes = 4096, .headerFields = 20, .chunkFramingBytes = 2000 };

    void setup() override { reader.start(limits); }

    Result feed(std::string_view text)
    {
        reader.append(text);
        return reader.parse();
    }

    // Feeds the text n times; returns the first result that is not NeedsMore.
    Result feedTimes(std::string_view text, size_t n)
    {
        auto result = Result::NeedsMore;
        for (; n > 0 && result == Result::NeedsMore; --n)
            result = feed(text);
        return result;
    }

    void checkRefused(Result result, RefusalReason reason, unsigned status)
    {
        CHECK_TRUE(result == Result::Refused);
        STRCMP_EQUAL(std::string(nameOf(reason)).c_str(), std::string(nameOf(reader.refusal().reason)).c_str());
        LONGS_EQUAL(status, reader.refusal().status);
    }
};

// Guards against a header without end that arrives line by line.
TEST(RequestReader, HeaderInPartsIsBounded)
{
    limits.headerFields = 60'000;
    reader.start(limits);
    feed("GET / HTTP/1.1\r\nHost: h\r\n");
    checkRefused(feedTimes("a:b\r\n", 10'000), RefusalReason::HeaderBytes, 431);
    CHECK_TRUE(reader.heldBytes() < 40'000);
}

// Guards against fields of few bytes each, which take twenty times their length of memory.
TEST(RequestReader, HeaderFieldsAreBoundedAndCounted)
{
    auto head = std::string("GET / HTTP/1.1\r\nHost: h\r\n");
    std::string lines;
    for (auto n = 0; n < 18; ++n)
        lines += "a:b\r\n";
    reader.append(head + lines + "Content-Length: 9\r\n\r\n");
    CHECK_TRUE(reader.expectedFieldBytes() > 18 * 80);
    CHECK_TRUE(reader.parse() == Result::NeedsMore);
    CHECK_TRUE(reader.requestBytes() > 18 * 80);
    LONGS_EQUAL(0, reader.expectedFieldBytes());
    reader.drop();
    checkRefused(feed(head + lines + lines + "\r\n"), RefusalReason::HeaderFields, 431);
}

// Guards against default bounds that refuse a request inside the limits of the configuration.
TEST(RequestReader, LargestLegalRequestsAreTaken)
{
    reader.start({});
    std::string head = "POST / HTTP/1.1\r\n";
    while (head.size() + 50 < 16'384)
        head += "a:\r\n";
    auto body = std::string(262'144, 'x');
    CHECK_TRUE(feed(head + "Content-Length: 262144\r\n\r\n") == Result::NeedsMore);
    CHECK_TRUE(feed(body) == Result::Complete);
    CHECK_TRUE(reader.release().body() == body);
    reader.start({});
    feed(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (auto byte : body)
        CHECK_TRUE(feed(std::string("1\r\n") + byte + "\r\n") == Result::NeedsMore);
    CHECK_TRUE(feed("0\r\n\r\n") == Result::Complete);
    CHECK_TRUE(reader.release().body() == body);
}

// Guards against chunk extensions without end: one that is long, and many that are short.
TEST(RequestReader, ChunkExtensionsAreBounded)
{
    auto head = std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    feed(head + "1;a=");
    checkRefused(feedTimes("bbbbbbbbbb", 10'000), RefusalReason::ChunkFraming, 431);
    CHECK_TRUE(reader.heldBytes() < 8192);
    reader.drop();
    feed(head);
    checkRefused(feedTimes("1;a=bbbbbbbbbb\r\nx\r\n", 10'000), RefusalReason::ChunkFraming, 431);
}

// Guards against trailers without end and against trailers whose fields are not counted.
TEST(RequestReader, TrailersAreBounded)
{
    auto head = std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    feed(head);
    checkRefused(feedTimes("a:b\r\n", 10'000), RefusalReason::ChunkFraming, 431);
    reader.drop();
    feed(head);
    feedTimes("a:b\r\n", 30);
    checkRefused(feed("\r\n"), RefusalReason::HeaderFields, 431);
}

// Guards against an assertion of the parser that ends the process when a last chunk comes byte by byte.
TEST(RequestReader, LastChunkMayComeInParts)
{
    feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    CHECK_TRUE(feed("\r") == Result::NeedsMore);
    CHECK_TRUE(feed("\n") == Result::Complete);
    reader.drop();
    CHECK_TRUE(feedTimes("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 1) == Result::NeedsMore);
    for (auto byte : std::string_view("1\r\nx\r\n0\r\n\r"))
        CHECK_TRUE(feed({ &byte, 1 }) == Result::NeedsMore);
    CHECK_TRUE(feed("\n") == Result::Complete);
    STRCMP_EQUAL("x", reader.release().body().c_str());
}

// Guards against memory that is held and not counted, and against counted memory that was freed.
TEST(RequestReader, HeldBytesFollowTheAllocator)
{
    LONGS_EQUAL(0, reader.heldBytes());
    feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n");
    feed(std::string(2000, 'x'));
    CHECK_TRUE(reader.heldBytes() >= 2000);
    // The body takes no more memory than its stated length.
    feed(std::string(500, 'x'));
    CHECK_TRUE(reader.requestBytes() <= 3000 + 1024);
    reader.drop();
    LONGS_EQUAL(0, reader.heldBytes());
}

// Guards against a bound on the body that is missed when header and body come together.
TEST(RequestReader, BodyIsBounded)
{
    checkRefused(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nxxx"), RefusalReason::BodyBytes, 413);
    reader.drop();
    checkRefused(feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\nx"),
        RefusalReason::BodyBytes, 413);
}

// Guards against input of the next request that is lost with the present one.
TEST(RequestReader, InputOfTheNextRequestIsKept)
{
    CHECK_TRUE(feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n") == Result::Complete);
    reader.release();
    reader.start(limits);
    CHECK_TRUE(reader.inputBytes() > 0);
    CHECK_TRUE(reader.parse() == Result::Complete);
    CHECK_TRUE(toView(reader.release().target()) == "/2");
}
